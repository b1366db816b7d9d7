"""The bytes of one segment file: a header line, then one line for each batch of records.

A line is the CRC-32 of its body as eight hex digits, a space, the body as JSON and a newline. What
one append writes is one line, so that however the write is torn, no sound line stands behind it.
"""

import json
import zlib
from collections.abc import Iterator

from willowpost.common.errors import WillowpostError
from willowpost.common.formats import UnknownFormatError

SEGMENT_FORMAT = 2
CHECKSUM_DIGITS = 8


class DiskDamagedError(WillowpostError):
    """Records after a bad one, or no header: more than a torn tail.

    The disk cannot be trusted; its identity is lost.
    """


def header() -> bytes:
    """The first line of each segment."""
    return _line({"format": SEGMENT_FORMAT})


def batch_of(records: list[dict]) -> bytes:
    """What one append writes: all of it comes back after a crash, or nothing."""
    return _line(records)


def segment_lines(records: list[dict]) -> Iterator[bytes]:
    """Yields a whole segment line by line, so that a large snapshot is not copied in memory.

    Each record has its own line, so that damage can be located.
    """
    yield header()
    for record in records:
        yield batch_of([record])


def segment_of(records: list[dict]) -> bytes:
    """The bytes of a whole segment."""
    return b"".join(segment_lines(records))


def parse(data: bytes) -> tuple[list[dict], int]:
    """Reads a segment: its records, and the length in bytes of the sound part.

    Raises:
        DiskDamaged: there is no sound header, or a sound line follows a bad one.
        UnknownFormat: the header names another format.
    """
    start = _after_header(data)
    records: list[dict] = []
    while start < len(data):
        end = data.find(b"\n", start)
        batch = _body(data[start:end]) if end >= 0 else None
        if batch is None:
            break
        records += batch
        start = end + 1
    if any(_body(line) is not None for line in data[start:].split(b"\n")[1:]):
        raise DiskDamagedError(f"a bad record at byte {start}, sound ones behind it")
    return records, start


def _after_header(data: bytes) -> int:
    end = data.find(b"\n")
    body = _body(data[:end]) if end >= 0 else None
    if body is None:
        raise DiskDamagedError("no sound header")
    found = body.get("format") if isinstance(body, dict) else None
    if found != SEGMENT_FORMAT:
        raise UnknownFormatError("segment", found, SEGMENT_FORMAT)
    return end + 1


def _line(body) -> bytes:
    text = json.dumps(body, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _body(line: bytes):
    """The value of a sound line without its newline, or None."""
    if len(line) < CHECKSUM_DIGITS + 2 or line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] != b" ":
        return None
    text = line[CHECKSUM_DIGITS + 1 :]
    try:
        return json.loads(text) if int(line[:CHECKSUM_DIGITS], 16) == zlib.crc32(text) else None
    except ValueError:
        return None
