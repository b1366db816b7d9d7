"""Serves one byte range of a stored response (RFC 9110, 14.2)."""

import re

from willowpost.proxy.origin.answer import WholeAnswer

ONE = re.compile(r"\s*bytes\s*=\s*(\d+)-(\d*)\s*")


def one_range(value: str | None) -> tuple[int, int | None] | None:
    """Parses a Range header that names one range with its first byte.

    Returns:
        (first, last), where last is None for an open range; None for any other header, whose
        request is then sent to the origin.
    """
    said = ONE.fullmatch(value or "")
    if said is None:
        return None
    first, last = int(said[1]), int(said[2]) if said[2] else None
    return None if last is not None and last < first else (first, last)


class PartMaker:
    """Makes partial responses from whole ones.

    A 206 keeps the stored response's headers, its seal included. A 416 is written by this proxy and
    not by the origin, so the header named `seal` (lower case) is left out of it.
    """

    def __init__(self, seal: str = ""):
        self.seal = seal

    def make(self, whole: WholeAnswer, wanted: tuple[int, int | None]) -> WholeAnswer:
        """A 206 with the bytes `wanted` (first, last or None), or a 416 if none of them exist."""
        size, (first, last) = len(whole.body), wanted
        headers = [
            (name, value)
            for name, value in whole.headers
            if name not in ("content-length", "content-range")
        ]
        if first >= size:
            unsealed = [pair for pair in headers if pair[0] != self.seal]
            return WholeAnswer(416, [*unsealed, ("content-range", f"bytes */{size}")], b"")
        end = size - 1 if last is None else min(last, size - 1)
        return WholeAnswer(
            206,
            [*headers, ("content-range", f"bytes {first}-{end}/{size}")],
            whole.body[first : end + 1],
        )
