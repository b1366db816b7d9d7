"""The bytes that a caller sends on its connection."""

import contextlib
from collections.abc import Callable

from gevent import socket

from willowpost.proxy.origin.pool import quiet

BLOCK = 16 * 1024
LINE_MOST = 64 * 1024
HEAD_END = b"\r\n\r\n"
ARRIVED_SECONDS = 1.0  # to read what has arrived


class Malformed(Exception):
    """Bytes that are no request; `code` is the status to answer.

    Invariant: the connection is closed after it, since nobody can tell where the next request
    begins.
    """

    def __init__(self, code: int, reason: str):
        super().__init__(reason)
        self.code = code


class Ending(Exception):
    """The caller sends no more, or has been silent for too long."""


class IdleEnding(Ending):
    """The caller has been silent for too long, and nothing of a request has been read."""


def has_ended(connection) -> bool:
    """Whether the caller's side of the connection has ended, with nothing unread before its end."""
    try:
        return connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class CallerStream:
    """What came on the connection and is not used yet; file-like for gevent's chunked reader."""

    closed = False

    def __init__(self, connection):
        self.connection = connection
        self.held = b""
        self.ended = False  # the caller sends no more

    def _receive(self) -> bool:
        if self.ended:
            return False
        data = self.connection.recv(BLOCK)
        self.held += data
        self.ended = not data
        return bool(data)

    def read_ahead(self) -> None:
        """Takes in what has arrived, without waiting.

        Raises:
            OSError: The connection broke.
        """
        with contextlib.suppress(BlockingIOError):
            data = self.connection._sock.recv(BLOCK, socket.MSG_DONTWAIT)
            self.held += data
            self.ended = not data

    def head(self, most: int, rest_left: Callable[[], float], span: float) -> bytes:
        """A whole head without its blank line.

        Args:
            most: Bytes that it may have.
            rest_left: Gives the seconds that the caller may go on resting; asked again when they
                are over, since the limit may have grown, or an answer have been written, meanwhile.
            span: Seconds from then until its last.

        Raises:
            Ending: the caller sends no more.
            IdleEnding: the caller has rested for too long.
            Malformed: the head is too long, or took too long.
        """
        while not self._begun():
            self._wait(rest_left)
        self.connection.settimeout(span)
        while True:
            end = self.held.find(HEAD_END)
            if end >= 0:
                break
            if len(self.held) > most:
                raise Malformed(431, "head over the limit")
            self._receive_more_of_head()
        if end > most:
            raise Malformed(431, "head over the limit")
        head = self.held[:end]
        self.held = self.held[end + len(HEAD_END) :]
        return head

    def _begun(self) -> bool:
        """Whether a byte of a head is there; empty lines before it are none."""
        self.held = self.held.lstrip(b"\r\n")
        return bool(self.held)

    def _wait(self, rest_left):
        """Waits for the first byte of a head.

        A task that is late finds its time over and the request there as well: what has arrived is
        taken up.
        """
        while (left := rest_left()) > 0:
            self.connection.settimeout(left)
            try:
                if not self._receive():
                    raise Ending
                return
            except socket.timeout:
                continue
        if quiet(self.connection):
            raise IdleEnding
        self.connection.settimeout(ARRIVED_SECONDS)
        if not self._receive():
            raise Ending

    def _receive_more_of_head(self):
        try:
            if not self._receive():
                raise Ending
        except socket.timeout:
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
