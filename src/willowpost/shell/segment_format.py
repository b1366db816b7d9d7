"""The bytes of one segment file: a header line, then one line for each batch of records.

A line is the CRC-32 of its body as eight hex digits, a space, the body as JSON and a newline. What
one append writes is one line, so that however the write is torn, no valid line follows it.
"""

import json
import zlib
from collections.abc import Iterator
from typing import Any

from willowpost.common.errors import WillowpostError
from willowpost.common.formats import UnknownFormatError

SEGMENT_FORMAT = 2
CHECKSUM_DIGITS = 8

Record = dict[str, Any]


class DiskDamagedError(WillowpostError):
    """Records after a bad one, or no header: more than a torn tail.

    The disk cannot be trusted; its identity is lost.
    """


def encode_header() -> bytes:
    """Return the first line of each segment."""
    return _encode_line({"format": SEGMENT_FORMAT})


def encode_batch(records: list[Record]) -> bytes:
    """Return what one append writes: all of it comes back after a crash, or nothing."""
    return _encode_line(records)


def segment_lines(records: list[Record]) -> Iterator[bytes]:
    """Yield a segment line by line, so that a large snapshot is not copied in memory.

    Each record has its own line, so that damage can be located.
    """
    yield encode_header()
    for record in records:
        yield encode_batch([record])


def encode_segment(records: list[Record]) -> bytes:
    """Return the bytes of a segment."""
    return b"".join(segment_lines(records))


def parse_segment(data: bytes) -> tuple[list[Record], int]:
    """Read a segment: its records, and the length in bytes of the valid part.

    Raises:
        DiskDamagedError: there is no valid header, or a valid line follows a bad one.
        UnknownFormatError: the header names another format.
    """
    start = _header_end(data)
    records: list[Record] = []
    while start < len(data):
        end = data.find(b"\n", start)
        batch = _decode_line(data[start:end]) if end >= 0 else None
        if batch is None:
            break
        records += batch
        start = end + 1
    if any(_decode_line(line) is not None for line in data[start:].split(b"\n")[1:]):
        raise DiskDamagedError(f"a bad record at byte {start}, sound ones behind it")
    return records, start


def _header_end(data: bytes) -> int:
    """Return the offset of the first line after the header."""
    end = data.find(b"\n")
    body = _decode_line(data[:end]) if end >= 0 else None
    if body is None:
        raise DiskDamagedError("no sound header")
    found = body.get("format") if isinstance(body, dict) else None
    if found != SEGMENT_FORMAT:
        raise UnknownFormatError("segment", found, SEGMENT_FORMAT)
    return end + 1


def _encode_line(body: object) -> bytes:
    text = json.dumps(body, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _decode_line(line: bytes) -> Any:
    """Return the value of a valid line without its newline, or None."""
    if len(line) < CHECKSUM_DIGITS + 2 or line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] != b" ":
        return None
    text = line[CHECKSUM_DIGITS + 1 :]
    try:
        return json.loads(text) if int(line[:CHECKSUM_DIGITS], 16) == zlib.crc32(text) else None
    except ValueError:
        return None
