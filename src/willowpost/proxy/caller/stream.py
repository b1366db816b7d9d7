"""The bytes that a caller sends on its connection."""

from gevent import socket

BLOCK = 16 * 1024
LINE_MOST = 64 * 1024
HEAD_END = b"\r\n\r\n"


class Malformed(Exception):
    """Bytes that are no request; `code` is the status to answer.

    Invariant: the connection is closed after it, since nobody can tell where the next request
    begins.
    """

    def __init__(self, code: int, reason: str):
        super().__init__(reason)
        self.code = code


class Ending(Exception):
    """The caller has gone, or has been silent for too long."""


class CallerStream:
    """What came on the connection and is not used yet; file-like for gevent's chunked reader."""

    closed = False

    def __init__(self, connection):
        self.connection = connection
        self.held = b""

    def _receive(self) -> bool:
        data = self.connection.recv(BLOCK)
        self.held += data
        return bool(data)

    def head(self, most: int, idle: float, span: float) -> bytes:
        """A whole head without its blank line.

        Args:
            most: Bytes that it may have.
            idle: Seconds until its first byte.
            span: Seconds from then until its last.

        Raises:
            Ending: the caller has gone, or sent nothing for `idle`.
            Malformed: the head is too long, or took too long.
        """
        self.connection.settimeout(idle)
        while True:
            self.held = self.held.lstrip(b"\r\n")
            end = self.held.find(HEAD_END)
            if end >= 0:
                break
            if len(self.held) > most:
                raise Malformed(431, "head over the limit")
            begun = bool(self.held)
            self._receive_more_of_head(begun)
            if not begun:
                self.connection.settimeout(span)
        if end > most:
            raise Malformed(431, "head over the limit")
        head = self.held[:end]
        self.held = self.held[end + len(HEAD_END) :]
        return head

    def _receive_more_of_head(self, begun):
        try:
            if not self._receive():
                raise Ending
        except socket.timeout:
            if not begun:
                raise Ending
            raise Malformed(408, "the head took too long")

    def read(self, size: int) -> bytes:
        """`size` bytes, or fewer at the end."""
        while len(self.held) < size and self._receive():
            pass
        taken, self.held = self.held[:size], self.held[size:]
        return taken

    def readline(self, size: int = LINE_MOST) -> bytes:
        """Up to the next line end, or `size` bytes."""
        while b"\n" not in self.held[:size] and len(self.held) < size and self._receive():
            pass
        end = min(self.held.find(b"\n") + 1 or size, size)
        taken, self.held = self.held[:end], self.held[end:]
        return taken
