"""HTTP requests and JSON responses of the programs' own calls."""

from dataclasses import dataclass
from typing import Any

from willowpost.common.errors import WillowpostError
from willowpost.common.log_position import LogPosition

REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    304: "Not Modified",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Environ = dict[str, Any]  # of WSGI
KNOWN_POSITION = "known"  # in a query: SLOT.VERSION of a `LogPosition`
KNOWN_BEFORE = "wp.known_before"  # key of the `Environ`: `Request.known_before`


def status_line(code: int) -> str:
    """Return code and reason phrase of a status line."""
    return f"{code} {REASONS.get(code, 'Status')}"


@dataclass(frozen=True, slots=True)
class Response:
    """A response with a JSON value.

    Attributes:
        code: the status code.
        value: the JSON value; None: no body.
        headers: (name, value) of further headers.
    """

    code: int
    value: Any = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it came.

    Attributes:
        method: the HTTP method.
        path: without the query.
        query: what follows "?"; empty: none.
        headers: by name in lower case.
        body: the complete body.
        params: the path's segments that match a "*" of the route.
        known_before: how far this process knew the log before the request's connection came; None:
            it does not know, or follows no log.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    params: tuple[str, ...] = ()
    known_before: LogPosition | None = None


def reject(code: int, reason: str, after: int = 1, **details: object) -> Response:
    """Return a final response, at once: what happened, and when to retry.

    Args:
        code: the status code.
        reason: what happened.
        after: seconds until a retry makes sense.
        details: further members of the JSON object.
    """
    return Response(code, {"reject": reason, **details}, (("Retry-After", str(after)),))


def invalid(code: int, path: str, message: str) -> Response:
    """Return a response with one validation issue of the field or call at `path`."""
    return Response(code, {"findings": [{"place": path, "finding": message}]})


class BodyTooLargeError(WillowpostError):
    """A body is over what its call takes."""


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Return a request's body, of which at most `max_bytes` are read.

    Raises:
        BodyTooLargeError: it is larger.
        EOFError: it ended short.
    """
    length = environ.get("CONTENT_LENGTH")
    if length:
        return _read_sized_body(environ["wsgi.input"], int(length), max_bytes)
    if environ.get("HTTP_TRANSFER_ENCODING"):
        body: bytes = environ["wsgi.input"].read(max_bytes + 1)
        if len(body) > max_bytes:
            raise BodyTooLargeError
        return body
    return b""


def _read_sized_body(stream: Any, length: int, max_bytes: int) -> bytes:
    if length > max_bytes:
        raise BodyTooLargeError
    body: bytes = stream.read(length)
    if len(body) < length:
        raise EOFError("the body ended short")
    return body
