"""The responses that one client's connection owes: written in the order of their requests."""

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

import gevent
import gevent.event

from willowpost.common.memory_pool import PooledMemory
from willowpost.proxy.client.lifetime import ClientDisconnected, RequestLifetime
from willowpost.proxy.client.pacing import LinkPacer
from willowpost.proxy.client.response import ClientResponse
from willowpost.proxy.origin.framing import BODYLESS_STATUSES

WRITE_TIMEOUT_SECONDS = 75.0
MAX_SINGLE_WRITE_BYTES = 64 * 1024  # a head and a body up to this are written at once
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# in the position of a response whose client has disconnected; never written
UNDELIVERED = ClientResponse(503, ())


class ResponseObserver(Protocol):
    """What a queue needs of the proxy: counters, and how to write.

    Attributes:
        in_flight: Requests that have begun and whose responses have not been written.
        pacer: Paces large responses.
    """

    in_flight: int
    pacer: LinkPacer

    def is_draining(self) -> bool:
        """Whether this proxy is draining."""

    def record_aborted_response(self, problem: BaseException) -> None:
        """Counts a response that was cut off after its head had been sent."""

    def record_disconnects(self, requests: int) -> None:
        """Counts requests whose client has disconnected before they were answered."""


@dataclass(slots=True)
class PendingResponse:
    """A request's position in its connection's order.

    Attributes:
        lifetime: Whether the client still waits.
        closes_connection: Whether the connection ends with this response.
        has_no_body: Whether the response has no body, as to HEAD.
        accepts_interim: Whether the client takes interim responses.
        memory: What its responses take until the last byte is written.
        response: None until the request is answered.
    """

    lifetime: RequestLifetime = field(default_factory=RequestLifetime)
    closes_connection: bool = False
    has_no_body: bool = False
    accepts_interim: bool = False
    memory: PooledMemory = field(default_factory=PooledMemory)
    response: ClientResponse | None = None


class ResponseQueue:
    """Responses leave in the order of their requests; whichever task completes one writes it.

    Invariant: at most one task writes, and nothing is written once the connection is broken.

    Args:
        connection: The client's socket.
        observer: The proxy's counters and pacer.

    Attributes:
        pending: What has not been written yet, in order.
        is_closing: Whether nothing more is to be read.
        is_broken: Whether the client has disconnected or a response broke off.
        changed: Set after responses have been written.
        idle_since_seconds: When the last response was written, by time.monotonic().
    """

    def __init__(self, connection: Any, observer: ResponseObserver) -> None:
        self.pending: deque[PendingResponse] = deque()
        self.is_closing = self.is_broken = False
        self.changed = gevent.event.Event()
        self.idle_since_seconds = time.monotonic()
        self._connection, self._observer = connection, observer
        self._writer: Any = None  # the task that writes now

    def __len__(self) -> int:
        """How many requests wait for their responses."""
        return len(self.pending)

    def add(self, pending: PendingResponse) -> None:
        """Appends a request."""
        self.pending.append(pending)
        self._observer.in_flight += 1

    def run(
        self, pending: PendingResponse, respond: Callable[[RequestLifetime], ClientResponse]
    ) -> None:
        """Answers a request as the work of the current task, which ends with the lifetime."""
        response = UNDELIVERED
        try:
            with pending.lifetime.running(gevent.getcurrent()):
                response = respond(pending.lifetime)
        except ClientDisconnected:
            self.is_broken = True
        self.resolve(pending, response)

    def resolve(self, pending: PendingResponse, response: ClientResponse) -> None:
        """Sets the response to a request, and writes what is next in order."""
        pending.response = response
        self._write_ready()

    def abandon(self) -> None:
        """Ends the work for all requests of this connection: its client has disconnected."""
        self.is_closing = self.is_broken = True
        lifetimes = [pending.lifetime for pending in self.pending if pending.response is None]
        self._observer.record_disconnects(
            sum(lifetime.disconnected_at is None for lifetime in lifetimes)
        )
        for lifetime in lifetimes:
            lifetime.disconnect()
        if self._writer not in (None, gevent.getcurrent()):
            self._writer.kill(ClientDisconnected, block=False)
        self.changed.set()

    def probe(self) -> None:
        """Sends an interim response, by which a connection that is closed shows itself.

        The first one makes the other side reset the connection; a later one finds it reset. Nothing
        is sent while a response is being written: the writing itself shows it.

        Raises:
            OSError: The client has disconnected.
        """
        is_writing = self._writer is not None
        if is_writing or not self.pending or not self.pending[0].accepts_interim:
            return
        self._writer = gevent.getcurrent()
        try:
            self._connection.settimeout(WRITE_TIMEOUT_SECONDS)
            self._connection.sendall(INTERIM_RESPONSE)
        finally:
            self._writer = None
        self._write_ready()

    def _write_ready(self) -> None:
        """Writes the responses that are ready at the head of the queue."""
        if self._writer is not None:
            return
        self._writer = gevent.getcurrent()
        try:
            while self.pending and (response := self.pending[0].response) is not None:
                self._write_first(self.pending[0], response)
        finally:
            self._writer = None
            self.idle_since_seconds = time.monotonic()
            self.changed.set()

    def _write_first(self, pending: PendingResponse, response: ClientResponse) -> None:
        try:
            if not self.is_broken:
                self._write(pending, response)
        except (OSError, ClientDisconnected):
            self._break()
        # The body's blocks come from an exchange, whose errors are of many kinds; whichever it is,
        # the response cannot be completed any more, and the connection is closed.
        except Exception as problem:
            self._observer.record_aborted_response(problem)
            self._break()
        finally:
            response.discard()
            pending.memory.release()
            self.pending.popleft()
            self._observer.in_flight -= 1

    def _break(self) -> None:
        self.abandon()
        self._connection.close()

    def _write(self, pending: PendingResponse, response: ClientResponse) -> None:
        is_last = len(self.pending) == 1
        closes_connection = pending.closes_connection or (self._observer.is_draining() and is_last)
        if closes_connection:
            self.is_closing = True
        head = response.serialize_head(closes_connection)
        has_no_body = pending.has_no_body or response.status in BODYLESS_STATUSES
        body = b"" if has_no_body else response.body
        self._connection.settimeout(WRITE_TIMEOUT_SECONDS)
        if response.blocks is not None:
            self._connection.sendall(head.data)
            self._write_blocks(() if pending.has_no_body else response.blocks, head.is_chunked)
        elif len(body) <= MAX_SINGLE_WRITE_BYTES and not self._needs_pacing(body):
            self._observer.pacer.record(len(head.data) + len(body))
            self._connection.sendall(head.data + body)
        else:
            self._connection.sendall(head.data)
            self._write_paced(body)

    def _write_blocks(self, blocks: Iterable[bytes], is_chunked: bool) -> None:
        for block in blocks:
            if block:
                self._write_paced(b"%x\r\n%b\r\n" % (len(block), block) if is_chunked else block)
        if is_chunked:
            self._connection.sendall(b"0\r\n\r\n")

    def _needs_pacing(self, body: bytes) -> bool:
        chunk_bytes = self._observer.pacer.chunk_bytes
        return chunk_bytes is not None and len(body) > chunk_bytes

    def _write_paced(self, data: bytes) -> None:
        """Writes bytes at the pace of the machine's link."""
        pacer = self._observer.pacer
        chunk_bytes = pacer.chunk_bytes or len(data) or 1
        view = memoryview(data)
        for start in range(0, len(data), chunk_bytes):
            chunk = view[start : start + chunk_bytes]
            pacer.wait(len(chunk))
            self._connection.sendall(chunk)
