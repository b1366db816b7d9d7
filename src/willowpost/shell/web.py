"""JSON over gevent's WSGI server for operators and origins, with a table of routes."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from gevent import socket
from gevent.pool import Pool

from willowpost.common.errors import WillowpostError
from willowpost.common.import_guard import blocked_imports
from willowpost.shell.addresses import split_address
from willowpost.shell.structured_log import StructuredLogger

# http.client takes it if it is there; nothing here uses TLS, and it costs 4 MB.
with blocked_imports("ssl"):
    from gevent.pywsgi import Input as Input
    from gevent.pywsgi import WSGIHandler, WSGIServer

# A peer that vanishes without closing (power loss, partition) is noticed within 30 s, whether it
# owes an acknowledgement or the connection is idle: (level, option) -> value.
KEEPALIVE_OPTIONS = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): 15,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): 5,
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): 3,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): 15_000,
}
MAX_CONNECTIONS = 4096
STOP_TIMEOUT_SECONDS = 5.0
ANY_SEGMENT = "*"  # of a route's path; becomes a parameter of the request
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    304: "Not Modified",
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

Environ = dict[str, Any]


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
        body: the whole body.
        params: the path's segments that match a "*" of the route.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    params: tuple[str, ...] = ()


Handler = Callable[[Request], Response]


@dataclass(frozen=True, slots=True)
class Route:
    """One call that a router serves.

    Attributes:
        method: the HTTP method.
        segments: of the path; "*" matches any.
        max_bytes: length of the largest body that it takes.
        handler: makes the response.
    """

    method: str
    segments: tuple[str, ...]
    max_bytes: int
    handler: Handler

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Whether a request's path is this route's."""
        return len(self.segments) == len(segments) and all(
            expected in (ANY_SEGMENT, segment)
            for expected, segment in zip(self.segments, segments, strict=True)
        )

    def params(self, segments: tuple[str, ...]) -> tuple[str, ...]:
        """Return the segments that match a "*"."""
        return tuple(
            segment
            for expected, segment in zip(self.segments, segments, strict=True)
            if expected == ANY_SEGMENT
        )


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


def _never() -> bool:
    return False


class Router:
    """A WSGI application with a table of routes.

    Args:
        routes: (method, path, largest body in bytes, handler) each; "*" in a path matches any
            segment, which becomes a parameter of the request.
        logger: where log lines go.
        is_closing: whether connections should be closed after the response.

    Attributes:
        in_flight: how many requests are being served; kept by `CountingHandler`.
    """

    def __init__(
        self,
        routes: Iterable[tuple[str, str, int, Handler]],
        logger: StructuredLogger,
        is_closing: Callable[[], bool] = _never,
    ) -> None:
        self.in_flight = 0
        self.is_closing = is_closing
        self.routes = tuple(
            Route(method, _segments(path), max_bytes, handler)
            for method, path, max_bytes, handler in routes
        )
        self.logger = logger

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Respond to one request (WSGI)."""
        response = self._respond(environ)
        body = b"" if response.value is None else json.dumps(response.value).encode() + b"\n"
        start_response(
            status_line(response.code),
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *response.headers,
                *([("Connection", "close")] if self.is_closing() else []),
            ],
        )
        return [body]

    def _respond(self, environ: Environ) -> Response:
        """Return the response, whatever goes wrong."""
        try:
            return self._dispatch(environ)
        except BodyTooLargeError:
            return invalid(413, "/", "body too large")
        except (EOFError, ValueError, OSError):
            return invalid(400, "/", "malformed request")
        # The request's last line: a bug must not look like a success, nor keep the caller waiting.
        except Exception as problem:
            self.logger.log("web", "request failed", level="error", problem=repr(problem))
            return reject(500, "broke down")

    def _dispatch(self, environ: Environ) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        segments = _segments(path)
        candidates = [route for route in self.routes if route.matches(segments)]
        if not candidates:
            return invalid(404, path, "no such call")
        route = next((route for route in candidates if route.method == method), None)
        if route is None:
            allowed = ", ".join(sorted({route.method for route in candidates}))
            value = invalid(405, path, "no such method").value
            return Response(405, value, (("Allow", allowed),))
        return route.handler(
            Request(
                method,
                path,
                environ.get("QUERY_STRING", ""),
                _headers(environ),
                read_body(environ, route.max_bytes),
                route.params(segments),
            )
        )


def _segments(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _headers(environ: Environ) -> dict[str, str]:
    return {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }


class QuietHandler(WSGIHandler):  # type: ignore[misc]  # the library has no types
    """A handler without Nagle's delay and without request logs."""

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self) -> Environ:
        """Return the handler's environment, with the connection itself."""
        return {**super().get_environ(), "wp.socket": self.socket}

    def log_request(self) -> None:
        """Log no request: logs are made where something is decided."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log no error: the router logs what failed."""


class CountingHandler(QuietHandler):
    """A handler that counts a request as in flight until the last byte of its response is sent."""

    def handle_one_response(self) -> Any:
        """Respond to one request, counted as in flight."""
        self.server.application.in_flight += 1
        try:
            return super().handle_one_response()
        finally:
            self.server.application.in_flight -= 1


class WebServer:
    """Serves an application at an address.

    Args:
        address: `host:port` to listen at.
        application: a WSGI application.
        handler: gevent's handler class for its connections.
        max_connections: further ones wait.
    """

    def __init__(
        self,
        address: str,
        application: Any,
        handler: type = QuietHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.server = WSGIServer(
            split_address(address),
            application,
            handler_class=handler,
            log=None,
            error_log=None,
            spawn=Pool(max_connections),
        )

    def start(self) -> None:
        """Start to listen; connections inherit the options of the listening socket."""
        self.server.init_socket()
        for (level, option), value in KEEPALIVE_OPTIONS.items():
            self.server.socket.setsockopt(level, option, value)
        self.server.start()

    def stop(self, seconds: float = STOP_TIMEOUT_SECONDS) -> None:
        """Close the socket and give requests in flight so many seconds to end."""
        self.server.stop(timeout=seconds)
