"""The bytes that a client sends on its connection."""

import contextlib
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from willowpost.common.errors import WillowpostError
from willowpost.common.memory_pool import PooledMemory
from willowpost.proxy.origin.connection_pool import is_quiet

RECEIVE_BYTES = 16 * 1024
BODY_RECEIVE_BYTES = 64 * 1024
# While bytes are waiting, gevent's recv() returns at once: after so many the other tasks get their
# turn.
TURN_BYTES = 256 * 1024
MAX_LINE_BYTES = 64 * 1024
MAX_READ_AHEAD_BYTES = 64 * 1024  # read of a connection whose requests wait
HEAD_END = b"\r\n\r\n"
ARRIVED_TIMEOUT_SECONDS = 1.0  # to read what has arrived
REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431


class MalformedRequestError(WillowpostError):
    """Bytes that are no valid request.

    Invariant: the connection is closed after it, since nobody can tell where the next request
    begins.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ConnectionEndedError(WillowpostError):
    """The client sends no more, or its connection was idle for too long."""


class IdleTimeoutError(ConnectionEndedError):
    """The connection was idle for too long, and nothing of a request has been read."""


def has_ended(connection: Any) -> bool:
    """Whether the client's side of the connection has ended, with nothing unread before its end."""
    try:
        data: bytes = connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return data == b""


class ConnectionReader:
    """Reads a client's connection; file-like for gevent's chunked reader.

    However fast and much a client sends, other tasks run in between, and the cost of a byte does
    not grow with what has been received before it.

    Args:
        connection: The client's socket.
        read_ahead_memory: What is read ahead takes of it; None for no bound.

    Attributes:
        closed: Always False, as gevent's reader expects of a file.
        buffer: What has been received and is not used yet.
        has_ended: Whether the client sends no more.
    """

    closed = False

    def __init__(self, connection: Any, read_ahead_memory: PooledMemory | None = None) -> None:
        self.connection = connection
        self.read_ahead_memory = read_ahead_memory or PooledMemory()
        self.buffer = bytearray()
        self.has_ended = False
        self._work_in_turn = 0  # in bytes, as `count_work` counts them

    def may_read_ahead(self) -> bool:
        """Whether there is memory for what has arrived; then it is taken."""
        is_short = len(self.buffer) >= MAX_READ_AHEAD_BYTES
        return not is_short and self.read_ahead_memory.take(RECEIVE_BYTES)

    def read_ahead(self) -> None:
        """Buffers what has arrived, without waiting.

        Raises:
            OSError: The connection broke.
        """
        with contextlib.suppress(BlockingIOError):
            data: bytes = self.connection._sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
            self.buffer += data
            self.has_ended = not data
        self._settle_read_ahead()

    def read_head(
        self, max_bytes: int, idle_seconds_left: Callable[[], float], timeout_seconds: float
    ) -> bytes:
        """Returns a complete head without its empty line.

        Args:
            max_bytes: The longest head.
            idle_seconds_left: Returns the seconds that the connection may stay idle; called again
                when they are over, since the limit may have grown, or a response have been written,
                meanwhile.
            timeout_seconds: How long each further read may take once the head has begun.

        Raises:
            ConnectionEndedError: The client sends no more.
            IdleTimeoutError: The connection was idle for too long.
            MalformedRequestError: The head is too long, or took too long.
        """
        while not self._has_begun():
            self._wait_for_first_byte(idle_seconds_left)
        self.connection.settimeout(timeout_seconds)
        while (end := self.buffer.find(HEAD_END)) < 0:
            if len(self.buffer) > max_bytes:
                raise MalformedRequestError(HEADERS_TOO_LARGE, "head over the limit")
            self._receive_more_of_head()
        if end > max_bytes:
            raise MalformedRequestError(HEADERS_TOO_LARGE, "head over the limit")
        return self._take(end + len(HEAD_END))[:end]

    def read(self, size: int) -> bytes:
        """Returns `size` bytes, or fewer at the end."""
        while len(self.buffer) < size and self._receive(BODY_RECEIVE_BYTES):
            pass
        return self._take(size)

    def readline(self, size: int = MAX_LINE_BYTES) -> bytes:
        """Returns the bytes up to the next line end, or `size` bytes."""
        while self.buffer.find(b"\n", 0, size) < 0 and len(self.buffer) < size and self._receive():
            pass
        return self._take(min(self.buffer.find(b"\n", 0, size) + 1 or size, size))

    def read_into(self, view: memoryview) -> int:
        """Receives bytes into a buffer; returns how many, 0 at the end.

        Raises:
            TimeoutError: Nothing came for as long as the connection's timeout.
        """
        if self.buffer:
            return self._take_into(view)
        if self.has_ended:
            return 0
        self.count_work(0)
        count: int = self.connection.recv_into(view)
        self._work_in_turn += count
        self.has_ended = not count
        return count

    def discard(self, until_seconds: float) -> None:
        """Reads and drops what still arrives, until the client sends no more.

        Args:
            until_seconds: When to end at the latest, by time.monotonic().

        Raises:
            OSError: The connection broke, or nothing came for as long as its timeout.
        """
        self.buffer.clear()
        with memoryview(bytearray(BODY_RECEIVE_BYTES)) as scratch:
            while time.monotonic() < until_seconds and self.read_into(scratch):
                pass

    def count_work(self, cost_bytes: int) -> None:
        """Counts work that took as long as receiving so many bytes; others run after a while."""
        self._work_in_turn += cost_bytes
        if self._work_in_turn >= TURN_BYTES:
            self._work_in_turn = 0
            gevent.sleep(0)

    def _take_into(self, view: memoryview) -> int:
        count = min(len(view), len(self.buffer))
        view[:count] = self.buffer[:count]
        del self.buffer[:count]
        self._settle_read_ahead()
        return count

    def _settle_read_ahead(self) -> None:
        if self.read_ahead_memory.held > len(self.buffer):
            self.read_ahead_memory.settle(len(self.buffer))

    def _take(self, size: int) -> bytes:
        with memoryview(self.buffer) as view:
            taken = bytes(view[:size])
        del self.buffer[:size]
        self._settle_read_ahead()
        return taken

    def _receive(self, most: int = RECEIVE_BYTES) -> bool:
        if self.has_ended:
            return False
        self.count_work(0)
        data: bytes = self.connection.recv(most)
        self.buffer += data
        self._work_in_turn += len(data)
        self.has_ended = not data
        return bool(data)

    def _has_begun(self) -> bool:
        """Whether a byte of a head is there; empty lines before it are skipped (RFC 9112, 2.2)."""
        if self.buffer.startswith((b"\r", b"\n")):
            self.buffer = self.buffer.lstrip(b"\r\n")
        return bool(self.buffer)

    def _wait_for_first_byte(self, idle_seconds_left: Callable[[], float]) -> None:
        """Waits for the first byte of a head.

        A task that runs late finds its time over and the request there as well: what has arrived is
        read.
        """
        while (seconds_left := idle_seconds_left()) > 0:
            self.connection.settimeout(seconds_left)
            try:
                self._receive_or_end()
                return
            except TimeoutError:
                continue
        if is_quiet(self.connection):
            raise IdleTimeoutError
        self.connection.settimeout(ARRIVED_TIMEOUT_SECONDS)
        self._receive_or_end()

    def _receive_or_end(self) -> None:
        if not self._receive():
            raise ConnectionEndedError

    def _receive_more_of_head(self) -> None:
        try:
            self._receive_or_end()
        except TimeoutError as problem:
            raise MalformedRequestError(REQUEST_TIMEOUT, "the head took too long") from problem
