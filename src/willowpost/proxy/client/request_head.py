"""The head of a client's request (RFC 9112, 2 to 6)."""

import re
from collections.abc import Sequence

from willowpost.proxy.client.connection_reader import MalformedRequestError

HTTP_1_0 = "HTTP/1.0"
VERSIONS = ("HTTP/1.1", HTTP_1_0)
METHOD = re.compile(r"[A-Z][A-Z0-9_-]{0,31}")
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
SINGLETON_HEADERS = ("content-length", "transfer-encoding", "host")
BAD_REQUEST = 400


class ClientRequestHead:
    """A request's head as it was received.

    Invariants: header names are in lower case; the body has one framing at most.

    Args:
        data: The bytes of the head, without the empty line that ends it.

    Attributes:
        method: The HTTP method.
        target: The request target as it was sent.
        headers: Lower-case name to value; repeated headers are joined with commas.
        length: The body's Content-Length in bytes, or None.
        is_chunked: Whether the body comes in chunks.
        accepts_interim: Whether its sender takes interim responses (1xx), as HTTP/1.1 clients must.
        closes_connection: Whether the connection ends with the response.

    Raises:
        MalformedRequestError: It is no head, or the body's length is ambiguous.
    """

    __slots__ = (
        "accepts_interim",
        "closes_connection",
        "headers",
        "is_chunked",
        "length",
        "method",
        "target",
    )

    def __init__(self, data: bytes) -> None:
        lines = _split_lines(data)
        request_line = lines[0].split(" ")
        if (
            len(request_line) != 3
            or not METHOD.fullmatch(request_line[0])
            or request_line[2] not in VERSIONS
        ):
            raise MalformedRequestError(BAD_REQUEST, "no request line")
        self.method, self.target, version = request_line
        self.accepts_interim = version != HTTP_1_0
        self.headers = _parse_headers(lines[1:])
        self.length, self.is_chunked = self._framing()
        connection = self.headers.get("connection", "").lower()
        is_kept_alive = version != HTTP_1_0 or "keep-alive" in connection
        self.closes_connection = "close" in connection or not is_kept_alive

    @property
    def has_no_body(self) -> bool:
        """Whether no byte of a body follows."""
        return not self.is_chunked and not self.length

    def _framing(self) -> tuple[int | None, bool]:
        """Returns the body's length and whether it is chunked.

        Stricter than RFC 9112, 6.3: a request with both headers is rejected.
        """
        length = self.headers.get("content-length")
        coding = self.headers.get("transfer-encoding")
        has_both = length is not None and coding is not None
        is_bad_length = length is not None and not (length.isascii() and length.isdigit())
        is_bad_coding = coding is not None and coding.lower() != "chunked"
        if has_both or is_bad_length or is_bad_coding:
            raise MalformedRequestError(BAD_REQUEST, "framed twice, or in a way that is not known")
        return None if length is None else int(length), coding is not None


def _split_lines(data: bytes) -> list[str]:
    """Splits a head into lines; a lone CR or LF, which some take for a line end, is an error."""
    lines = data.decode("latin-1").split("\r\n")
    line_ends = len(lines) - 1
    if data.count(b"\n") != line_ends or data.count(b"\r") != line_ends or b"\0" in data:
        raise MalformedRequestError(BAD_REQUEST, "no header line")
    return lines


def _parse_headers(lines: Sequence[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not HEADER_NAME.fullmatch(name):
            raise MalformedRequestError(BAD_REQUEST, "no header line")
        name, value = name.lower(), value.strip(" \t")
        if name in headers:
            if name in SINGLETON_HEADERS:
                raise MalformedRequestError(BAD_REQUEST, "framed or addressed twice")
            value = f"{headers[name]}, {value}"
        headers[name] = value
    return headers
