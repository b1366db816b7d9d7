"""The head of a caller's request."""

import re

from willowpost.proxy.caller.stream import Malformed

HTTP_1_0 = "HTTP/1.0"
VERSIONS = ("HTTP/1.1", HTTP_1_0)
METHOD = re.compile(r"[A-Z][A-Z0-9_-]{0,31}")
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
ONE_ONLY = ("content-length", "transfer-encoding", "host")


def _lines(head: bytes) -> list[str]:
    """The lines of a head; a lone CR or LF, which some would take for a line end, makes it none."""
    lines = head.decode("latin-1").split("\r\n")
    ends = len(lines) - 1
    if head.count(b"\n") != ends or head.count(b"\r") != ends or b"\0" in head:
        raise Malformed(400, "no header line")
    return lines


class CallerRequest:
    """A request's head as it came.

    Attributes:
        interim: Whether its sender takes interim answers (1xx), as HTTP/1.1 says.

    Invariants: header names are in lower case; the body is framed in one way at most.
    """

    __slots__ = ("chunked", "close", "headers", "interim", "length", "method", "target")

    def __init__(self, head: bytes):
        """Parses a head.

        Raises:
            Malformed: it is none, or does not say in one way how long its body is.
        """
        lines = _lines(head)
        words = lines[0].split(" ")
        if len(words) != 3 or not METHOD.fullmatch(words[0]) or words[2] not in VERSIONS:
            raise Malformed(400, "no request line")
        self.method, self.target = words[0], words[1]
        self.interim = words[2] != HTTP_1_0
        self.headers = self._headers(lines[1:])
        self._frame()
        said = self.headers.get("connection", "").lower()
        self.close = "close" in said or (words[2] == HTTP_1_0 and "keep-alive" not in said)

    def _headers(self, lines):
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not NAME.fullmatch(name):
                raise Malformed(400, "no header line")
            name, value = name.lower(), value.strip(" \t")
            if name in headers:
                if name in ONE_ONLY:
                    raise Malformed(400, "framed or addressed twice")
                value = f"{headers[name]}, {value}"
            headers[name] = value
        return headers

    def _frame(self):
        length = self.headers.get("content-length")
        coding = self.headers.get("transfer-encoding")
        self.length, self.chunked = None, False
        if length is None and coding is None:
            return
        twice = length is not None and coding is not None
        no_number = length is not None and not (length.isascii() and length.isdigit())
        if twice or no_number or (coding is not None and coding.lower() != "chunked"):
            raise Malformed(400, "framed twice, or in a way that is not known")
        if length is not None:
            self.length = int(length)
        self.chunked = coding is not None

    @property
    def bodyless(self) -> bool:
        """Whether no byte of a body follows."""
        return not self.chunked and not self.length
