"""One client's connection: requests are read ahead, handled concurrently and answered in order."""

import contextlib
import time
from typing import Any

import gevent
from gevent import socket

from willowpost.common.memory_budget import MemoryExhaustedError
from willowpost.proxy.client.body_reader import BodyReader, SlowBodyError
from willowpost.proxy.client.connection_reader import (
    REQUEST_TIMEOUT,
    ConnectionEndedError,
    ConnectionReader,
    IdleTimeoutError,
    MalformedRequestError,
)
from willowpost.proxy.client.connection_watcher import ConnectionWatcher
from willowpost.proxy.client.lifetime import RequestLifetime
from willowpost.proxy.client.request_head import ClientRequestHead
from willowpost.proxy.client.response import ClientResponse
from willowpost.proxy.client.response_queue import PendingResponse, ResponseQueue
from willowpost.proxy.request_body import NO_BODY, RequestBody
from willowpost.shell.web import BodyTooLargeError
from willowpost.shell.web_server import WSGIHandler

MAX_HEAD_BYTES = 64 * 1024
MAX_PIPELINED_REQUESTS = 16
IDLE_TIMEOUT_MS = 75_000
HEAD_TIMEOUT_MS = 30_000
HEAD_MARGIN_SECONDS = 0.5
LINGER_SILENCE_SECONDS = 1.0
MAX_LINGER_SECONDS = 10.0
MS_PER_SECOND = 1000


class ProxyHandler(WSGIHandler):  # type: ignore[misc]  # gevent has no types here
    """Serves one connection; responses leave in the order of their requests (pipelining).

    A request that may not run twice, or has a body, is started only when all before it are
    answered, and none behind it is started before it is answered. Once a response has announced the
    connection's end, nothing read after it is started.

    When the client has disconnected, the lifetimes of all requests that wait for their responses
    end; `ConnectionWatcher` detects it.
    """

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket, self.server, self.client_address = sock, server, address
        self.front = server.application
        self.responses = ResponseQueue(sock, self.front)
        self.reader = ConnectionReader(sock, self.front.memory.for_read_ahead())
        self.watcher = ConnectionWatcher(sock, self.reader, self.responses)
        self.last_runs_alone = False  # whether the last request runs alone

    def handle(self) -> None:
        """Serves the connection until either side ends it."""
        must_linger = True
        self.front.register(self)
        try:
            must_linger = self._read_requests()
            self.watcher.wait(0)
        except OSError:
            self.responses.abandon()
        finally:
            self.responses.is_closing = True
            if must_linger:
                self._linger()
            self.reader.read_ahead_memory.release()
            self.front.unregister(self)
            self.socket.close()

    def is_idle(self) -> bool:
        """Whether no request of this connection waits for its response."""
        return not self.responses.pending

    def end(self) -> None:
        """Starts nothing new; an idle connection is closed at once."""
        self.responses.is_closing = True
        if self.is_idle():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _read_requests(self) -> bool:
        """Reads requests until there are no more; whether what still arrives is to be read."""
        try:
            while not self.responses.is_closing and self._next_request():
                pass
        except IdleTimeoutError:
            # every response left long ago; a request that comes now must not be read and dropped
            return False
        except ConnectionEndedError:
            pass
        return True

    def _linger(self) -> None:
        """Reads what still arrives before the socket is closed.

        Unread bytes would reset the connection, which may destroy the last response on its way.
        """
        if self.responses.is_broken:
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_SILENCE_SECONDS)
            self.reader.discard(time.monotonic() + MAX_LINGER_SECONDS)

    def _next_request(self) -> bool:
        """Reads a request and starts it; False if no other one is to be read."""
        try:
            data = self._read_head()
            if self.responses.is_closing:
                self.front.record_unstarted()
                return False
            head = ClientRequestHead(data)
        except MalformedRequestError as problem:
            self.watcher.wait(0)
            self._reject_malformed(problem)
            return False
        received_at = self.front.now()
        pending = PendingResponse(
            self._lifetime(),
            head.closes_connection,
            head.method == "HEAD",
            head.accepts_interim,
            self.front.memory.for_response(),
        )
        self._wait_for_turn(head)
        if self.responses.is_closing:
            self.front.record_unstarted()
            return False
        self._start(pending, head, received_at)
        return not pending.closes_connection

    def _wait_for_turn(self, head: ClientRequestHead) -> None:
        """Waits until the request may be started.

        Raises:
            OSError: The client has disconnected meanwhile.
        """
        runs_alone = not head.has_no_body or not self.front.limits.is_repeatable(head)
        max_pending = 0 if runs_alone or self.last_runs_alone else MAX_PIPELINED_REQUESTS - 1
        self.watcher.wait(max_pending)
        if not self.responses.is_closing:
            self.last_runs_alone = runs_alone

    def _start(self, pending: PendingResponse, head: ClientRequestHead, received_at: int) -> None:
        self.responses.add(pending)
        if head.has_no_body:
            gevent.spawn(self._respond, pending, head, NO_BODY, received_at)
        else:
            self._respond_with_body(pending, head)

    def _lifetime(self) -> RequestLifetime:
        return RequestLifetime(
            self.watcher.is_disconnected,
            self.front.now,
            lambda: self.reader.has_ended or self.front.stall_detector.has_stalled_recently(),
        )

    def _read_head(self) -> bytes:
        limits = self.front.limits.configured()
        timeout_at_begin = self._idle_timeout_seconds()

        def idle_seconds_left() -> float:
            timeout = max(timeout_at_begin, self._idle_timeout_seconds())
            if not self.is_idle():
                return timeout
            return self.responses.idle_since_seconds + timeout - time.monotonic()

        head_timeout_ms = limits.get("head_ms") or HEAD_TIMEOUT_MS
        return self.reader.read_head(
            limits.get("head_bytes") or MAX_HEAD_BYTES,
            idle_seconds_left,
            head_timeout_ms / MS_PER_SECOND + HEAD_MARGIN_SECONDS,
        )

    def _idle_timeout_seconds(self) -> float:
        """How long a connection may be idle by the configuration in force now."""
        timeout_ms: float = self.front.limits.configured().get("idle_ms") or IDLE_TIMEOUT_MS
        return timeout_ms / MS_PER_SECOND

    def _respond(
        self,
        pending: PendingResponse,
        head: ClientRequestHead,
        body: RequestBody,
        received_at: int,
    ) -> None:
        def respond(lifetime: RequestLifetime) -> ClientResponse:
            try:
                response: ClientResponse = self.front.respond(
                    head, body, received_at, lifetime, pending.memory
                )
                return response
            finally:
                body.release()  # before the response is written, which may take long

        try:
            self.responses.run(pending, respond)
        finally:
            body.release()

    def _reject_malformed(self, problem: MalformedRequestError) -> None:
        pending = PendingResponse(closes_connection=True)
        self.responses.add(pending)
        self.responses.resolve(pending, self.front.reject_malformed(problem.status, str(problem)))

    def _respond_with_body(self, pending: PendingResponse, head: ClientRequestHead) -> None:
        try:
            received = BodyReader(self.socket, self.reader, self.front.memory).read(
                head,
                self.front.limits.body_bytes(head),
                self.front.limits.memory_wait_seconds(head),
            )
        except BodyTooLargeError:
            self._reject_body(pending, self.front.reject_malformed(413, "body over the limit"))
        except MemoryExhaustedError as problem:
            self._reject_body(pending, self.front.reject_overload(head, str(problem)))
        except SlowBodyError:
            reason = "the body came too slowly while others waited"
            self._reject_body(pending, self.front.reject_malformed(REQUEST_TIMEOUT, reason))
        except (OSError, ValueError, EOFError):
            self._reject_body(pending, self.front.reject_malformed(400, "the body ended short"))
        else:
            received_at = self.front.now() - received.waited_us
            gevent.spawn(self._respond, pending, head, received.body, received_at)

    def _reject_body(self, pending: PendingResponse, response: ClientResponse) -> None:
        """Answers a request whose body is not read on, so that the connection ends."""
        pending.closes_connection = True
        self.responses.resolve(pending, response)
