"""Reads a body in chunks (RFC 9112, 7.1)."""

import re
from typing import Protocol

MAX_CHUNK_LINE_BYTES = 8 * 1024  # of a chunk's size with its extensions
MAX_TRAILER_BYTES = 16 * 1024  # of all trailers together
# What a chunk costs besides its bytes, as a number of bytes that cost the same.
CHUNK_COST_BYTES = 1024
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n]*)?\r\n")
LINE_END = b"\r\n"


class LineReader(Protocol):
    """Reads a connection; see `ConnectionReader`."""

    def readline(self, size: int = ...) -> bytes:
        """Returns the bytes up to the next line end, or `size` bytes."""

    def read_into(self, view: memoryview) -> int:
        """Receives bytes into a buffer; returns how many, 0 at the end."""

    def count_work(self, cost_bytes: int) -> None:
        """Counts work that took as long as receiving so many bytes."""


class ChunkedBody:
    """The content of a body that comes in chunks.

    Args:
        reader: Reads the connection, from the body's first byte on.
    """

    def __init__(self, reader: LineReader) -> None:
        self._reader = reader
        self._left_in_chunk = 0  # bytes
        self._left_for_trailers = MAX_TRAILER_BYTES
        self._expects_line_end = False  # behind a chunk's bytes
        self._is_in_trailers = self._has_ended = False

    def read_into(self, view: memoryview) -> int:
        """Receives content into a buffer; returns how many bytes, 0 at the body's end.

        Raises:
            EOFError: The body ended short.
            OSError: The connection broke.
            ValueError: The chunks are malformed.
        """
        while not self._left_in_chunk and not self._has_ended:
            self._read_line()
        if self._has_ended:
            return 0
        count = self._reader.read_into(view[: self._left_in_chunk])
        if not count:
            raise EOFError
        self._left_in_chunk -= count
        self._expects_line_end = not self._left_in_chunk
        return count

    def _read_line(self) -> None:
        """Reads the next line that belongs to no chunk's bytes; a time-out loses nothing."""
        if self._is_in_trailers:
            self._read_trailer()
        elif self._expects_line_end:
            if self._line(len(LINE_END)) != LINE_END:
                raise ValueError("no line end behind a chunk")
            self._expects_line_end = False
        else:
            self._reader.count_work(CHUNK_COST_BYTES)
            size = CHUNK_SIZE.fullmatch(self._line(MAX_CHUNK_LINE_BYTES))
            if size is None:
                raise ValueError("no chunk size")
            self._left_in_chunk = int(size[1], 16)
            self._is_in_trailers = not self._left_in_chunk

    def _read_trailer(self) -> None:
        line = self._line(self._left_for_trailers)
        self._has_ended = line == LINE_END
        if not self._has_ended and not (line.endswith(LINE_END) and b":" in line):
            raise ValueError("no trailer line")
        self._left_for_trailers -= len(line)

    def _line(self, size: int) -> bytes:
        line = self._reader.readline(size)
        if not line:
            raise EOFError
        return line
