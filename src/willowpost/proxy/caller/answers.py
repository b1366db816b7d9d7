"""The answers that one caller's connection owes: written in the order of their requests."""

import time
from collections import deque
from collections.abc import Callable

import gevent

from willowpost.proxy.caller.lifetime import CallerGone, RequestLifetime
from willowpost.proxy.caller.reply import Reply
from willowpost.proxy.origin.framing import BODYLESS_STATUSES

WRITE_SECONDS = 75.0
TOGETHER = 64 * 1024  # a head and a body up to this leave in one piece
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
UNHEARD = Reply(503, [])  # in the place of an answer whose caller has left; never written


class PendingAnswer:
    """A request's place in its connection's order.

    Attributes:
        reply: None until the request is answered.
        close: Whether the connection ends with this answer.
        head: Whether the answer has no body, as to HEAD.
        interim: Whether the caller takes interim answers.
        lifetime: Whether the caller still waits.
    """

    __slots__ = ("close", "head", "interim", "lifetime", "reply")

    def __init__(self, close: bool, head: bool, interim: bool, lifetime: RequestLifetime):
        self.reply: Reply | None = None
        self.close, self.head, self.interim, self.lifetime = close, head, interim, lifetime


class AnswerQueue:
    """Answers leave in the order of their requests; whichever task completes one writes it.

    Invariant: at most one task writes, and nothing is written once the connection is broken.

    Args:
        connection: The caller's socket.
        front: Counts what is under way and says whether this proxy is leaving.

    Attributes:
        pending: What has not been written yet, in order.
        closing: Whether nothing more is to be read.
        broken: Whether the caller has left or an answer broke off.
        changed: Set after answers have been written.
        rested_since: When the last answer was written, by time.monotonic().
    """

    def __init__(self, connection, front):
        self.connection, self.front = connection, front
        self.pending: deque[PendingAnswer] = deque()
        self.closing = self.broken = False
        self.writer = None  # the task that writes now
        self.changed = gevent.event.Event()
        self.rested_since = time.monotonic()

    def __len__(self) -> int:
        """How many requests wait for their answers."""
        return len(self.pending)

    def add(self, pending: PendingAnswer) -> None:
        """Gives a request its place."""
        self.pending.append(pending)
        self.front.in_flight += 1

    def run(self, pending: PendingAnswer, respond: Callable[[RequestLifetime], Reply]) -> None:
        """Answers a request as the work of the current task, which ends with the lifetime."""
        reply = UNHEARD
        try:
            with pending.lifetime.running(gevent.getcurrent()):
                reply = respond(pending.lifetime)
        except CallerGone:
            self.broken = True
        self.resolve(pending, reply)

    def resolve(self, pending: PendingAnswer, reply: Reply) -> None:
        """Sets the answer of a request, and writes what is next in order."""
        pending.reply = reply
        self._write_ready()

    def abandon(self) -> None:
        """Ends the work for all requests of this connection: its caller has left."""
        self.closing = self.broken = True
        lifetimes = [held.lifetime for held in self.pending if held.reply is None]
        self.front.left(sum(lifetime.left_at is None for lifetime in lifetimes))
        for lifetime in lifetimes:
            lifetime.leave()
        if self.writer not in (None, gevent.getcurrent()):
            self.writer.kill(CallerGone, block=False)
        self.changed.set()

    def probe(self) -> None:
        """Sends an interim answer, by which a connection that is closed shows itself.

        The first one makes the other side reset the connection; a later one finds it reset. Nothing
        is sent while an answer is being written: the writing itself shows it.

        Raises:
            OSError: The caller has left.
        """
        if self.writer is not None or not self.pending or not self.pending[0].interim:
            return
        self.writer = gevent.getcurrent()
        try:
            self.connection.settimeout(WRITE_SECONDS)
            self.connection.sendall(INTERIM)
        finally:
            self.writer = None
        self._write_ready()

    def _write_ready(self):
        if self.writer is not None:
            return
        self.writer = gevent.getcurrent()
        try:
            while self.pending and self.pending[0].reply is not None:
                self._write_first()
        finally:
            self.writer = None
            self.rested_since = time.monotonic()
            self.changed.set()

    def _write_first(self):
        pending = self.pending[0]
        try:
            if not self.broken:
                self._write(pending)
        except (Exception, CallerGone) as problem:  # the caller has gone, or the answer broke off
            if not isinstance(problem, (OSError, CallerGone)):
                self.front.broke(problem)
            self.abandon()
            self.connection.close()
        finally:
            pending.reply.discard()
            self.pending.popleft()
            self.front.in_flight -= 1

    def _write(self, pending):
        reply, last = pending.reply, len(self.pending) == 1
        close = pending.close or (self.front.leaving() and last)
        if close:
            self.closing = True
        head, chunked = reply.head(close)
        body = b"" if pending.head or reply.code in BODYLESS_STATUSES else reply.body
        self.connection.settimeout(WRITE_SECONDS)
        if reply.pieces is not None:
            self.connection.sendall(head)
            self._write_pieces(() if pending.head else reply.pieces, chunked)
        elif len(body) <= TOGETHER and not self._is_large(body):
            self.front.pacer.count(len(head) + len(body))
            self.connection.sendall(head + body)
        else:
            self.connection.sendall(head)
            self._write_large(body)

    def _write_pieces(self, pieces, chunked):
        for piece in pieces:
            if piece:
                framed = b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
                self._write_large(framed)
        if chunked:
            self.connection.sendall(b"0\r\n\r\n")

    def _is_large(self, body):
        return self.front.pacer.piece is not None and len(body) > self.front.pacer.piece

    def _write_large(self, body):
        """Writes bytes at the pace of the machine's link."""
        pacer = self.front.pacer
        size = pacer.piece or len(body)
        view = memoryview(body)
        for start in range(0, len(body), size or 1):
            piece = view[start : start + size]
            pacer.wait(len(piece))
            self.connection.sendall(piece)
