"""One caller's connection: requests are read ahead, handled concurrently and answered in order."""

import contextlib
import time

import gevent
from gevent import socket

from willowpost.proxy.caller.answers import INTERIM, AnswerQueue, PendingAnswer
from willowpost.proxy.caller.lifetime import RequestLifetime
from willowpost.proxy.caller.request import CallerRequest
from willowpost.proxy.caller.stream import (
    BLOCK,
    CallerStream,
    Ending,
    IdleEnding,
    Malformed,
    has_ended,
)
from willowpost.shell.web import BodyTooLarge, Input, WSGIHandler

HEAD_MOST = 64 * 1024
AHEAD_MOST = 16
AHEAD_BYTES_MOST = 64 * 1024  # read of a connection whose requests wait
IDLE_SECONDS = 75.0
HEAD_SECONDS = 30.0
HEAD_MARGIN = 0.5
LINGER_SECONDS = 1.0
MILLIS = 1000
READABLE = 1  # libev's EV_READ
# seconds between the end of the caller's side and the first probe, and between further ones
PROBE_PAUSES = (0.05, 0.1, 0.3, 1.0)


class ProxyHandler(WSGIHandler):
    """Serves one connection; responses leave in the order of their requests.

    A request that may not run twice, or has a body, is started only when all before it are
    answered, and none behind it is started before it is answered. Once a response has announced the
    connection's end, nothing read after it is started.

    The connection is read at all times, whatever is being answered, so its end is taken in when it
    arrives. When the caller has left, the lifetimes of all requests that wait for their answers
    end. A caller that has only ended its sending side (FIN) may still read. It is told apart by an
    interim answer (100): a connection that is closed resets it, one that is half closed takes it.
    """

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket, self.server, self.client_address = sock, server, address
        self.front = server.application
        self.answers = AnswerQueue(sock, self.front)
        self.stream = CallerStream(sock)
        self.in_turn = False  # whether the last request runs alone
        self.probes = 0  # sent since the caller's side ended

    def handle(self):
        """Serves the connection until either side ends it."""
        linger = True
        self.front.opened(self)
        try:
            linger = self._read_requests()
            self._wait(0)
        except OSError:
            self.answers.abandon()
        finally:
            self.answers.closing = True
            if linger:
                self._linger()
            self.front.closed(self)
            self.socket.close()

    def _read_requests(self) -> bool:
        """Reads requests until there are no more; whether what still arrives is to be read."""
        try:
            while not self.answers.closing and self._next_request():
                pass
        except IdleEnding:
            # every answer left long ago; a request that comes now must not be read and dropped
            return False
        except Ending:
            pass
        return True

    def _linger(self):
        """Reads what still arrives before the socket is closed.

        Unread bytes would reset the connection, which may destroy the last response on its way.
        """
        if self.answers.broken:
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
        return not self.answers.pending

    def end(self) -> None:
        """Starts nothing new; an idle connection is closed at once."""
        self.answers.closing = True
        if self.idle():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _next_request(self) -> bool:
        try:
            head = self._head()
            if self.answers.closing:
                return False
            asked = CallerRequest(head)
        except Malformed as problem:
            self._wait(0)
            self._answer_malformed(problem)
            return False
        received = self.front.now()
        pending = PendingAnswer(
            asked.close, asked.method == "HEAD", asked.interim, self._lifetime()
        )
        in_turn = not asked.bodyless or not self.front.repeatable(asked)
        self._wait(0 if in_turn or self.in_turn else AHEAD_MOST - 1)
        if self.answers.closing:
            return False
        self.in_turn = in_turn
        self.answers.add(pending)
        if asked.bodyless:
            gevent.spawn(self._answer, pending, asked, b"", received)
        else:
            self._answer_with_body(pending, asked)
        return not pending.close

    def _lifetime(self):
        return RequestLifetime(
            self._has_left,
            self.front.now,
            lambda: self.stream.ended or self.front.standstill.recently(),
        )

    def _head(self):
        limits = self.front.limits()
        longest = self._idle_seconds()

        def rest_left():
            idle = max(longest, self._idle_seconds())
            return idle if not self.idle() else self.answers.rested_since + idle - time.monotonic()

        return self.stream.head(
            limits.get("head_bytes") or HEAD_MOST,
            rest_left,
            (limits.get("head_ms") or HEAD_SECONDS * MILLIS) / MILLIS + HEAD_MARGIN,
        )

    def _idle_seconds(self):
        """How long a connection may rest by the configuration in force now."""
        return (self.front.limits().get("idle_ms") or IDLE_SECONDS * MILLIS) / MILLIS

    def _answer(self, pending, asked, body, received):
        self.answers.run(
            pending, lambda lifetime: self.front.respond(asked, body, received, lifetime)
        )

    def _answer_malformed(self, problem):
        pending = PendingAnswer(True, False, False, RequestLifetime())
        self.answers.add(pending)
        self.answers.resolve(pending, self.front.malformed(problem.code, str(problem)))

    def _answer_with_body(self, pending, asked):
        try:
            body = self._body(asked, self.front.body_most(asked))
        except BodyTooLarge:
            pending.close = True
            self.answers.resolve(pending, self.front.malformed(413, "body over the limit"))
        except (OSError, ValueError, EOFError):
            pending.close = True
            self.answers.resolve(pending, self.front.malformed(400, "the body ended short"))
        else:
            gevent.spawn(self._answer, pending, asked, body, self.front.now())

    def _body(self, asked, most):
        if asked.length is not None and asked.length > most:
            raise BodyTooLarge
        self.socket.settimeout(HEAD_SECONDS)
        if asked.headers.get("expect", "").lower() == "100-continue":
            self.socket.sendall(INTERIM)
        if asked.length is not None:
            body = self.stream.read(asked.length)
            if len(body) < asked.length:
                raise EOFError
            return body
        body = Input(self.stream, None, chunked_input=True).read(most + 1)
        if len(body) > most:
            raise BodyTooLarge
        return body

    def _wait(self, most: int) -> None:
        """Waits until at most `most` requests of this connection are not answered yet.

        Raises:
            OSError: The caller has left meanwhile.
        """
        while len(self.answers) > most:
            if self.answers.broken:
                raise ConnectionAbortedError
            if self.stream.ended:
                self._wait_for_reader()
            else:
                self._wait_for_arrival()

    def _wait_for_reader(self):
        """Until an answer has been written; finds out again and again whether anybody reads it."""
        self.answers.changed.clear()
        pause = PROBE_PAUSES[min(self.probes, len(PROBE_PAUSES) - 1)]
        if not self.answers.changed.wait(pause):
            self.probes += 1
            self.answers.probe()

    def _wait_for_arrival(self):
        """Until an answer has been written or something has arrived, which is taken in."""
        changed = self.answers.changed
        changed.clear()
        if len(self.stream.held) >= AHEAD_BYTES_MOST:
            changed.wait()
            return
        arrival = gevent.get_hub().loop.io(self.socket.fileno(), READABLE)
        arrival.start(changed.set)
        try:
            changed.wait()
        finally:
            arrival.stop()
            arrival.close()
        if not self.answers.broken:
            self.stream.read_ahead()

    def _has_left(self) -> bool:
        """Whether the caller has left; takes a moment if its side of the connection has ended."""
        answers = self.answers
        if answers.broken or not (self.stream.ended or has_ended(self.socket)):
            return answers.broken
        try:
            answers.probe()
            gevent.sleep(PROBE_PAUSES[0])
            answers.probe()
        except OSError:
            return True
        return answers.broken
