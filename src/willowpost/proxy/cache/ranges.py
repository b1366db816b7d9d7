"""Serves one byte range of a stored response (RFC 9110, 14.2)."""

import re

from willowpost.proxy.origin.answer import Header, WholeAnswer

SINGLE_RANGE = re.compile(r"\s*bytes\s*=\s*(\d+)-(\d*)\s*")
PARTIAL_CONTENT = 206
RANGE_NOT_SATISFIABLE = 416
ByteRange = tuple[int, int | None]  # first and last; last is None for an open range


def one_range(value: str | None) -> ByteRange | None:
    """Parses a Range header that names one range with its first byte.

    Returns:
        (first, last), where last is None for an open range; None for any other header, whose
        request is then sent to the origin.
    """
    match = SINGLE_RANGE.fullmatch(value or "")
    if match is None:
        return None
    first, last = int(match[1]), int(match[2]) if match[2] else None
    return None if last is not None and last < first else (first, last)


class PartMaker:
    """Makes partial responses from complete ones.

    A 206 keeps the stored response's headers, its seal included. A 416 is written by this proxy and
    not by the origin, so the header named `seal_header` (lower case) is left out of it.
    """

    def __init__(self, seal_header: str = "") -> None:
        self.seal_header = seal_header

    def make(self, complete: WholeAnswer, byte_range: ByteRange) -> WholeAnswer:
        """Returns a 206 with the range's bytes, or a 416 if none of them exist."""
        size, (first, last) = len(complete.body), byte_range
        headers = [
            (name, value)
            for name, value in complete.headers
            if name not in ("content-length", "content-range")
        ]
        if first >= size:
            return self._not_satisfiable(headers, size)
        last = size - 1 if last is None else min(last, size - 1)
        headers.append(("content-range", f"bytes {first}-{last}/{size}"))
        return WholeAnswer(PARTIAL_CONTENT, headers, complete.body[first : last + 1])

    def _not_satisfiable(self, headers: list[Header], size: int) -> WholeAnswer:
        unsealed = [header for header in headers if header[0] != self.seal_header]
        unsealed.append(("content-range", f"bytes */{size}"))
        return WholeAnswer(RANGE_NOT_SATISFIABLE, unsealed, b"")
