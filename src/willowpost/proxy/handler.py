"""One caller's connection: requests are read ahead, handled concurrently and answered in order."""

import contextlib
from collections import deque

import gevent
from gevent import socket

from willowpost.proxy.caller.lifetime import RequestLifetime
from willowpost.proxy.caller.reply import Reply
from willowpost.proxy.caller.request import CallerRequest
from willowpost.proxy.caller.stream import (
    BLOCK,
    CallerStream,
    Ending,
    IdleEnding,
    Malformed,
    has_ended,
)
from willowpost.proxy.origin.framing import BODYLESS_STATUSES
from willowpost.shell.web import BodyTooLarge, Input, WSGIHandler

HEAD_MOST = 64 * 1024
AHEAD_MOST = 16
IDLE_SECONDS = 75.0
HEAD_SECONDS = 30.0
HEAD_MARGIN = 0.5
LINGER_SECONDS = 1.0
MILLIS = 1000
TOGETHER = 64 * 1024  # a head and a body up to this leave in one piece


class PendingAnswer:
    """A request's place in its connection's order; `reply` is None until it is answered."""

    __slots__ = ("close", "head", "reply")

    def __init__(self, close: bool, head: bool):
        self.reply: Reply | None = None
        self.close, self.head = close, head


class ProxyHandler(WSGIHandler):
    """Serves one connection; responses leave in the order of their requests.

    A request that may not run twice, or has a body, is started only when all before it are
    answered. Once a response has announced the connection's end, nothing read after it is started.
    """

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket, self.server, self.client_address = sock, server, address
        self.front = server.application
        self.pending: deque[PendingAnswer] = deque()
        self.writing = self.closing = self.broken = False
        self.answered = gevent.event.Event()

    def handle(self):
        """Serves the connection until either side ends it."""
        stream, linger = CallerStream(self.socket), True
        self.front.opened(self)
        try:
            while not self.closing and self._next_request(stream):
                pass
            self._wait(0)
        except IdleEnding:
            # every answer left long ago; a request that comes now must not be read and dropped
            linger = bool(self.pending)
            self._wait(0)
        except (Ending, OSError):
            self._wait(0)
        finally:
            self.closing = True
            if linger:
                self._linger()
            self.front.closed(self)
            self.socket.close()

    def _linger(self):
        """Reads what still arrives before the socket is closed.

        Unread bytes would reset the connection, which may destroy the last response on its way.
        """
        if self.broken:
            return
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_SECONDS)
            while self.socket.recv(BLOCK):
                pass
        except OSError:
            pass

    def idle(self) -> bool:
        """Whether no request of this connection waits for its answer."""
        return not self.pending

    def end(self) -> None:
        """Starts nothing new; an idle connection is closed at once."""
        self.closing = True
        if self.idle():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _next_request(self, stream) -> bool:
        try:
            head = self._head(stream)
            if self.closing:
                return False
            asked = CallerRequest(head)
        except Malformed as problem:
            self._wait(0)
            self._enqueue_answered(
                PendingAnswer(True, False), self.front.malformed(problem.code, str(problem))
            )
            return False
        pending = PendingAnswer(asked.close, asked.method == "HEAD")
        if asked.bodyless and self.front.repeatable(asked):
            self._wait(AHEAD_MOST - 1)
            if self.closing:
                return False
            self._enqueue(pending)
            gevent.spawn(self._answer, pending, asked, b"", self.front.now())
        else:
            self._wait(0)
            if self.closing:
                return False
            self._enqueue(pending)
            self._answer_in_turn(stream, pending, asked)
        return not pending.close

    def _head(self, stream):
        limits = self.front.limits()
        longest = self._idle_seconds()
        return stream.head(
            limits.get("head_bytes") or HEAD_MOST,
            lambda: max(longest, self._idle_seconds()),
            (limits.get("head_ms") or HEAD_SECONDS * MILLIS) / MILLIS + HEAD_MARGIN,
        )

    def _idle_seconds(self):
        """How long a connection may rest by the configuration in force now."""
        return (self.front.limits().get("idle_ms") or IDLE_SECONDS * MILLIS) / MILLIS

    def _answer_in_turn(self, stream, pending, asked):
        received = self.front.now()
        try:
            body = b"" if asked.bodyless else self._body(stream, asked, self.front.body_most(asked))
        except BodyTooLarge:
            pending.close = True
            self._resolve(pending, self.front.malformed(413, "body over the limit"))
        except (OSError, ValueError, EOFError):
            pending.close = True
            self._resolve(pending, self.front.malformed(400, "the body ended short"))
        else:
            self._answer(pending, asked, body, self.front.now() if body else received)

    def _body(self, stream, asked, most):
        if asked.length is not None and asked.length > most:
            raise BodyTooLarge
        self.socket.settimeout(HEAD_SECONDS)
        if asked.headers.get("expect", "").lower() == "100-continue":
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        if asked.length is not None:
            body = stream.read(asked.length)
            if len(body) < asked.length:
                raise EOFError
            return body
        body = Input(stream, None, chunked_input=True).read(most + 1)
        if len(body) > most:
            raise BodyTooLarge
        return body

    def _enqueue(self, pending):
        self.pending.append(pending)
        self.front.in_flight += 1

    def _enqueue_answered(self, pending, reply):
        self._enqueue(pending)
        self._resolve(pending, reply)

    def _answer(self, pending, asked, body, received):
        lifetime = RequestLifetime(lambda: has_ended(self.socket), self.front.now)
        self._resolve(pending, self.front.respond(asked, body, received, lifetime))

    def _resolve(self, pending, reply):
        pending.reply = reply
        if self.writing:
            return
        self.writing = True
        try:
            while self.pending and self.pending[0].reply is not None:
                self._write_first()
        finally:
            self.writing = False
            self.answered.set()

    def _write_first(self):
        try:
            if not self.broken:
                self._write(self.pending[0])
        except Exception as problem:  # the caller has gone, or the answer broke off
            self.closing = self.broken = True
            if not isinstance(problem, OSError):
                self.front.broke(problem)
            self.socket.close()
        finally:
            self.pending.popleft()
            self.front.in_flight -= 1

    def _write(self, pending):
        reply, last = pending.reply, len(self.pending) == 1
        close = pending.close or (self.front.leaving() and last)
        if close:
            self.closing = True
        head, chunked = reply.head(close)
        body = b"" if pending.head or reply.code in BODYLESS_STATUSES else reply.body
        self.socket.settimeout(IDLE_SECONDS)
        if reply.pieces is None:
            if len(body) <= TOGETHER:
                self.socket.sendall(head + body)
            else:
                self.socket.sendall(head)
                self.socket.sendall(body)
        else:
            self.socket.sendall(head)
            self._write_pieces(() if pending.head else reply.pieces, chunked)

    def _write_pieces(self, pieces, chunked):
        for piece in pieces:
            if piece:
                self.socket.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if chunked:
            self.socket.sendall(b"0\r\n\r\n")

    def _wait(self, most: int) -> None:
        """Until at most `most` requests of this connection are not answered yet."""
        while len(self.pending) > most:
            self.answered.clear()
            self.answered.wait()
