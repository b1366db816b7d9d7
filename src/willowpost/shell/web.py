"""JSON over gevent's WSGI server for operators and origins, with a table of routes."""

import json
from dataclasses import dataclass, field

from gevent import socket
from gevent.pool import Pool

from willowpost.common.import_guard import blocked_imports
from willowpost.shell.mesh import split

# http.client takes it if it is there; nothing here speaks TLS, and it costs 4 MB
with blocked_imports("ssl"):
    from gevent.pywsgi import Input as Input
    from gevent.pywsgi import WSGIHandler, WSGIServer

# A peer that vanishes without a word (no power, a cut) is noticed within 30 s, whether it owes an
# acknowledgement or the connection rests.
VANISHED = (
    ((socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPIDLE), 15),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPINTVL), 5),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPCNT), 3),
    ((socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT), 15_000),
)
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


def status_line(code: int) -> str:
    """Code and reason phrase of a status line."""
    return f"{code} {REASONS.get(code, 'Status')}"


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer with a JSON value, or without a body."""

    code: int
    value: object = None
    headers: tuple = ()


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it came: headers in lower case, `params` for each "*" of its path."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes = b""
    params: tuple = field(default=())


def reject(code: int, reason: str, after: int = 1, **more) -> Answer:
    """A final answer, at once: what happened, and when to come back."""
    return Answer(code, {"reject": reason, **more}, (("Retry-After", str(after)),))


class BodyTooLarge(Exception):
    """A body is over what its call takes."""

    pass


def read_body(environ, most: int) -> bytes:
    """A request's body, of which at most `most` bytes are held.

    Raises:
        BodyTooLarge: It is larger.
        EOFError: It ended short.
    """
    length = environ.get("CONTENT_LENGTH")
    if length:
        if int(length) > most:
            raise BodyTooLarge
        body = environ["wsgi.input"].read(int(length))
        if len(body) < int(length):
            raise EOFError("the body ended short")
        return body
    if environ.get("HTTP_TRANSFER_ENCODING"):
        body = environ["wsgi.input"].read(most + 1)
        if len(body) > most:
            raise BodyTooLarge
        return body
    return b""


class Router:
    """A WSGI application with a table of routes.

    Args:
        routes: (method, path, largest body in bytes, handler) each; "*" in a path matches any part,
            which becomes a parameter of the call.
        logs: Where log lines go.
        closing: Whether connections should be closed after the response.
    """

    def __init__(self, routes, logger, closing=lambda: False):
        self.in_flight = 0
        self.closing = closing  # () -> whether connections should not be kept
        self.routes = tuple(
            (method, tuple(path.strip("/").split("/")), most, handler)
            for method, path, most, handler in routes
        )
        self.logger = logger

    def __call__(self, environ, start_response):
        """Answer one call (WSGI)."""
        try:
            answer = self._answer(environ)
        except BodyTooLarge:
            answer = Answer(413, {"findings": [{"place": "/", "finding": "body too large"}]})
        except (EOFError, ValueError, OSError):
            answer = Answer(400, {"findings": [{"place": "/", "finding": "malformed request"}]})
        except Exception as problem:  # a bug must not look like a success, nor hold the caller
            self.logger.log("web", "call broke down", level="error", problem=repr(problem))
            answer = reject(500, "broke down")
        body = b"" if answer.value is None else json.dumps(answer.value).encode() + b"\n"
        start_response(
            status_line(answer.code),
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *answer.headers,
                *([("Connection", "close")] if self.closing() else []),
            ],
        )
        return [body]

    def _answer(self, environ):
        parts = tuple(environ["PATH_INFO"].strip("/").split("/"))
        fits = [
            (method, path, most, handler)
            for method, path, most, handler in self.routes
            if len(path) == len(parts)
            and all(want in ("*", part) for want, part in zip(path, parts, strict=False))
        ]
        if not fits:
            return Answer(
                404, {"findings": [{"place": environ["PATH_INFO"], "finding": "no such call"}]}
            )
        chosen_route = next(
            (route for route in fits if route[0] == environ["REQUEST_METHOD"]), None
        )
        if chosen_route is None:
            return Answer(
                405,
                {"findings": [{"place": environ["PATH_INFO"], "finding": "no such method"}]},
                (("Allow", ", ".join(sorted({route[0] for route in fits}))),),
            )
        _, path, most, handler = chosen_route
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        params = tuple(part for want, part in zip(path, parts, strict=False) if want == "*")
        return handler(
            Call(
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                environ.get("QUERY_STRING", ""),
                headers,
                read_body(environ, most),
                params,
            )
        )


class QuietHandler(WSGIHandler):
    """A handler without Nagle's delay and without request logs."""

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self):
        """The handler's environment, with the connection itself."""
        return {**super().get_environ(), "wp.socket": self.socket}

    def log_request(self):
        """Log no request: logs are made where something is decided."""
        pass

    def log_error(self, msg, *args):
        """Log no error: the router says what broke down."""
        pass


class CountingHandler(QuietHandler):
    """A handler that counts a call as in flight until the last byte of its response is sent."""

    def handle_one_response(self):
        """Answer one call, counted as under way."""
        self.server.application.in_flight += 1
        try:
            return super().handle_one_response()
        finally:
            self.server.application.in_flight -= 1


class WebServer:
    """Serves an application at an address, with at most `most` connections."""

    def __init__(self, address: str, application, handler=QuietHandler, most: int = 4096):
        self.server = WSGIServer(
            split(address),
            application,
            handler_class=handler,
            log=None,
            error_log=None,
            spawn=Pool(most),
        )

    def start(self) -> None:
        """Begin to listen; connections take over the options of the listening socket."""
        self.server.init_socket()
        for option, value in VANISHED:
            self.server.socket.setsockopt(*option, value)
        self.server.start()

    def stop(self, seconds: float = 5) -> None:
        """Closes the socket and gives calls in flight so many seconds to end."""
        self.server.stop(timeout=seconds)
