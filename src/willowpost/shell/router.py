"""A WSGI application that serves JSON calls by a table of routes."""

import json
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from willowpost.common.log_position import LogPosition
from willowpost.common.memory_budget import MemoryExhaustedError
from willowpost.shell.call_memory import CallMemory, TooManyValuesError
from willowpost.shell.process_settings import DEFAULT_MEMORY_BYTES
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.web import (
    KNOWN_BEFORE,
    BodyTooLargeError,
    Environ,
    Request,
    Response,
    invalid,
    reject,
    status_line,
)

ANY_SEGMENT = "*"  # of a route's path; becomes a parameter of the request

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


def _never() -> bool:
    return False


def _unknown() -> None:
    return None


class Router:
    """A WSGI application with a table of routes.

    Args:
        routes: (method, path, largest body in bytes, handler) each; "*" in a path matches any
            segment, which becomes a parameter of the request.
        logger: where log lines go.
        is_closing: whether connections should be closed after the response.
        known_before_arrival: returns how far the log was known before a connection that is accepted
            now has come; None: not known.

        memory: what calls may take; None: of a process of the usual size.

    Attributes:
        in_flight: how many requests are being served; kept by `CountingHandler`.
        responses: how many responses were made, by status.
    """

    def __init__(
        self,
        routes: Iterable[tuple[str, str, int, Handler]],
        logger: StructuredLogger,
        is_closing: Callable[[], bool] = _never,
        known_before_arrival: Callable[[], LogPosition | None] = _unknown,
        memory: CallMemory | None = None,
    ) -> None:
        self.memory = memory or CallMemory(DEFAULT_MEMORY_BYTES)
        self.in_flight = 0
        self.responses: Counter[int] = Counter()
        self.known_before_arrival = known_before_arrival
        self.is_closing = is_closing
        self.routes = tuple(
            Route(method, _segments(path), max_bytes, handler)
            for method, path, max_bytes, handler in routes
        )
        self.logger = logger

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Respond to one request (WSGI)."""
        response = self._respond(environ)
        self.responses[response.code] += 1
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
        except TooManyValuesError:
            return invalid(400, "/", "too many values")
        except MemoryExhaustedError as problem:
            return reject(503, str(problem))
        except (EOFError, ValueError, OSError):
            return invalid(400, "/", "malformed request")
        # The last handler: a bug must not look like a success, nor keep the caller waiting.
        except Exception as problem:
            self.logger.log("web", "request broke down", level="error", problem=repr(problem))
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
        with self.memory.reading(environ, route.max_bytes) as body:
            return route.handler(
                Request(
                    method,
                    path,
                    environ.get("QUERY_STRING", ""),
                    _headers(environ),
                    body,
                    route.params(segments),
                    environ.get(KNOWN_BEFORE),
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
