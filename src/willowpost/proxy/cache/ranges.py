"""A part of a kept answer: one range that names its first byte (RFC 9110, 14.2)."""

import re

from willowpost.proxy.origin.answer import WholeAnswer

ONE = re.compile(r"\s*bytes\s*=\s*(\d+)-(\d*)\s*")


def one_range(value: str | None) -> tuple[int, int | None] | None:
    """(first, last or None), or None if it is no such range: then the origin is asked."""
    said = ONE.fullmatch(value or "")
    if said is None:
        return None
    first, last = int(said[1]), int(said[2]) if said[2] else None
    return None if last is not None and last < first else (first, last)


class PartMaker:
    """Invariants: the part carries all that the whole answer said of itself, its seal included.

    A 416 is our own word, which the origin has not given: it carries no `seal` (a header's name).
    """

    def __init__(self, seal: str = ""):
        self.seal = seal

    def make(self, whole: WholeAnswer, wanted: tuple[int, int | None]) -> WholeAnswer:
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
