"""gevent's WSGI server, for applications that several connections use at once."""

import contextlib
from typing import Any

from gevent import socket
from gevent.pool import Pool

from willowpost.common.import_guard import blocked_imports
from willowpost.shell.addresses import split_address
from willowpost.shell.web import KNOWN_BEFORE, Environ

# http.client takes it if it is there; nothing here uses TLS, and it costs 4 MB.
with blocked_imports("ssl"):
    from gevent.pywsgi import Input as Input
    from gevent.pywsgi import WSGIHandler as WSGIHandler  # for other handlers, too
    from gevent.pywsgi import WSGIServer

# A peer that vanishes without closing (power loss, partition) is noticed within 30 s, whether it
# owes an acknowledgement or the connection is idle: (level, option) -> value.
KEEPALIVE_OPTIONS = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): 15,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): 5,
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): 3,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): 15_000,
}
# What has arrived on a connection and is not read yet; else the kernel raises it to megabytes.
RECEIVE_BUFFER_BYTES = 256 * 1024
MAX_CONNECTIONS = 4096
STOP_TIMEOUT_SECONDS = 5.0


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
    """A handler for a `Router`.

    It counts a request as in flight until the last byte of its response is sent, and notes how far
    the log was known before the connection came.
    """

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        self.known_before = server.application.known_before_arrival()
        super().__init__(sock, address, server, rfile)

    def get_environ(self) -> Environ:
        """Return the handler's environment, with the position known before the connection."""
        return {**super().get_environ(), KNOWN_BEFORE: self.known_before}

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
        # a system that does not let it be set has a bound of its own
        with contextlib.suppress(OSError):
            self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.server.start()

    def is_accepting(self) -> bool:
        """Whether a connection that comes is accepted at once."""
        is_delayed = self.server.delay > self.server.min_delay  # after an error, until it succeeds
        return not is_delayed and not self.server.full()

    def stop(self, seconds: float = STOP_TIMEOUT_SECONDS) -> None:
        """Close the socket and give requests in flight so many seconds to end."""
        self.server.stop(timeout=seconds)
