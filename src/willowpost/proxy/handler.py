"""One caller's connection: reads requests ahead, lets them be answered side by side.

And answers in their order.
"""

import contextlib
import re
from collections import deque

import gevent
from gevent import socket

from willowpost.shell.web import BodyTooLarge, Input, WSGIHandler, status_line

SECOND = 1_000_000
BLOCK = 16 * 1024
HEAD_MOST = 64 * 1024
AHEAD_MOST = 16
IDLE_SECONDS = 75.0
HEAD_SECONDS = 30.0
HEAD_MARGIN = 0.5
LINGER_SECONDS = 1.0
TOGETHER = 64 * 1024  # a head and a body up to this leave in one piece
METHOD = re.compile(r"[A-Z][A-Z0-9_-]{0,31}")
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
ONE_ONLY = ("content-length", "transfer-encoding", "host")


class Malformed(Exception):
    """Invariant: after it the connection is closed: nobody can tell where the next request begins."""

    def __init__(self, code: int, reason: str):
        super().__init__(reason)
        self.code = code


class Ending(Exception):
    """The caller has gone, or has been silent for too long."""


class CallerStream:
    """What came on the connection and is not used yet; file-like for gevent's chunked reader."""

    closed = False

    def __init__(self, connection):
        self.connection = connection
        self.held = b""

    def _more(self) -> bool:
        data = self.connection.recv(BLOCK)
        self.held += data
        return bool(data)

    def head(self, most: int, idle: float, span: float) -> bytes:
        """A whole head without its blank line."""
        self.connection.settimeout(idle)
        while True:
            self.held = self.held.lstrip(b"\r\n")
            end = self.held.find(b"\r\n\r\n")
            if end >= 0:
                break
            if len(self.held) > most:
                raise Malformed(431, "head over the limit")
            begun = bool(self.held)
            try:
                if not self._more():
                    raise Ending
            except socket.timeout:
                if not begun:
                    raise Ending
                raise Malformed(408, "the head took too long")
            if not begun:
                self.connection.settimeout(span)
        if end > most:
            raise Malformed(431, "head over the limit")
        head, self.held = self.held[:end], self.held[end + 4 :]
        return head

    def read(self, size: int) -> bytes:
        while len(self.held) < size and self._more():
            pass
        taken, self.held = self.held[:size], self.held[size:]
        return taken

    def readline(self, size: int = 65536) -> bytes:
        while b"\n" not in self.held[:size] and len(self.held) < size and self._more():
            pass
        end = min(self.held.find(b"\n") + 1 or size, size)
        taken, self.held = self.held[:end], self.held[end:]
        return taken


class Asked:
    """A request's head as it came. Invariants: names in lower case; framed in one way at most."""

    __slots__ = ("chunked", "close", "headers", "length", "method", "target")

    def __init__(self, head: bytes):
        lines = head.decode("latin-1").split("\r\n")
        words = lines[0].split(" ")
        if (
            len(words) != 3
            or not METHOD.fullmatch(words[0])
            or words[2] not in ("HTTP/1.1", "HTTP/1.0")
        ):
            raise Malformed(400, "no request line")
        self.method, self.target = words[0], words[1]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if (
                not colon
                or not NAME.fullmatch(name)
                or "\r" in value
                or "\n" in value
                or "\0" in value
            ):
                raise Malformed(400, "no header line")
            name, value = name.lower(), value.strip(" \t")
            if name in self.headers:
                if name in ONE_ONLY:
                    raise Malformed(400, "framed or addressed twice")
                value = f"{self.headers[name]}, {value}"
            self.headers[name] = value
        length, coding = self.headers.get("content-length"), self.headers.get("transfer-encoding")
        if (
            length is not None
            and (coding is not None or not (length.isascii() and length.isdigit()))
        ) or (coding is not None and coding.lower() != "chunked"):
            raise Malformed(400, "framed twice, or in a way that is not known")
        self.length = int(length) if length is not None else None
        self.chunked = coding is not None
        said = self.headers.get("connection", "").lower()
        self.close = "close" in said or (words[2] == "HTTP/1.0" and "keep-alive" not in said)

    @property
    def bodyless(self) -> bool:
        return not self.chunked and not self.length


class Reply:
    """What is to be written: a whole body, or pieces that may break off."""

    __slots__ = ("body", "code", "headers", "pieces")

    def __init__(self, code: int, headers: list, body: bytes = b"", pieces=None):
        self.code, self.headers, self.body, self.pieces = code, headers, body, pieces


class Seat:
    """One request's place in the order of its connection."""

    __slots__ = ("close", "head", "reply")

    def __init__(self, close: bool, head: bool):
        self.reply, self.close, self.head = None, close, head


class ProxyHandler(WSGIHandler):
    """Invariants: answers leave in the order in which their requests came.

    A request that may not run twice, or has a body, is taken up only when all before it are
    answered; once an answer has said that it closes the connection, nothing read behind it is taken
    up.
    """

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket, self.server, self.client_address = sock, server, address
        self.front = server.application
        self.seats: deque[Seat] = deque()
        self.writing = self.closing = self.broken = False
        self.answered = gevent.event.Event()

    def handle(self):
        stream = CallerStream(self.socket)
        self.front.opened(self)
        try:
            while not self.closing and self._one(stream):
                pass
            self._wait(0)
        except (Ending, OSError):
            self._wait(0)
        finally:
            self.closing = True
            self._linger()
            self.front.closed(self)
            self.socket.close()

    def _linger(self):
        """Bytes that are not read would make the closing a reset.

        Which can take our last answer with it.
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
        return not self.seats

    def end(self) -> None:
        """Nothing new is taken up; an idle connection is closed at once."""
        self.closing = True
        if self.idle():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _one(self, stream) -> bool:
        limits = self.front.limits()
        try:
            head = stream.head(
                limits.get("head_bytes") or HEAD_MOST,
                (limits.get("idle_ms") or IDLE_SECONDS * 1000) / 1000,
                (limits.get("head_ms") or HEAD_SECONDS * 1000) / 1000 + HEAD_MARGIN,
            )
            if self.closing:
                return False
            asked = Asked(head)
        except Malformed as problem:
            self._wait(0)
            self._take(Seat(True, False), self.front.malformed(problem.code, str(problem)))
            return False
        seat = Seat(asked.close, asked.method == "HEAD")
        if asked.bodyless and self.front.repeatable(asked):
            self._wait(AHEAD_MOST - 1)
            if self.closing:
                return False
            self._sit(seat)
            gevent.spawn(self._answer, seat, asked, b"", self.front.now())
        else:
            self._wait(0)
            if self.closing:
                return False
            self._sit(seat)
            self._alone(stream, seat, asked)
        return not seat.close

    def _alone(self, stream, seat, asked):
        received = self.front.now()
        try:
            body = b"" if asked.bodyless else self._body(stream, asked, self.front.body_most(asked))
        except BodyTooLarge:
            seat.close = True
            self._give(seat, self.front.malformed(413, "body over the limit"))
        except (OSError, ValueError, EOFError):
            seat.close = True
            self._give(seat, self.front.malformed(400, "the body ended short"))
        else:
            self._answer(seat, asked, body, self.front.now() if body else received)

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

    def _sit(self, seat):
        self.seats.append(seat)
        self.front.in_flight += 1

    def _take(self, seat, reply):
        self._sit(seat)
        self._give(seat, reply)

    def _answer(self, seat, asked, body, received):
        self._give(seat, self.front.respond(asked, body, received))

    def _give(self, seat, reply):
        seat.reply = reply
        if self.writing:
            return
        self.writing = True
        try:
            while self.seats and self.seats[0].reply is not None:
                seat = self.seats[0]
                try:
                    if not self.broken:
                        self._write(seat)
                except Exception as problem:  # the caller has gone, or the answer broke off
                    self.closing = self.broken = True
                    if not isinstance(problem, OSError):
                        self.front.broke(problem)
                    self.socket.close()
                finally:
                    self.seats.popleft()
                    self.front.in_flight -= 1
        finally:
            self.writing = False
            self.answered.set()

    def _write(self, seat):
        reply, last = seat.reply, len(self.seats) == 1
        close = seat.close or (self.front.leaving() and last)
        if close:
            self.closing = True
        pieces = reply.pieces
        headers = reply.headers
        lengths = any(name == "content-length" for name, _ in headers)
        chunked = pieces is not None and not lengths
        if pieces is None and not lengths and reply.code not in (204, 304):
            headers = [*headers, ("content-length", str(len(reply.body)))]
        lines = [
            f"HTTP/1.1 {status_line(reply.code)}",
            *(f"{name}: {value}" for name, value in headers),
            *(("transfer-encoding: chunked",) if chunked else ()),
            *(("connection: close",) if close else ()),
        ]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        body = b"" if seat.head or reply.code in (204, 304) else reply.body
        self.socket.settimeout(IDLE_SECONDS)
        if pieces is None:
            if len(body) <= TOGETHER:
                self.socket.sendall(head + body)
            else:
                self.socket.sendall(head)
                self.socket.sendall(body)
        else:
            self.socket.sendall(head)
            self._stream(() if seat.head else pieces, chunked)

    def _stream(self, pieces, chunked):
        for piece in pieces:
            if piece:
                self.socket.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if chunked:
            self.socket.sendall(b"0\r\n\r\n")

    def _wait(self, most: int) -> None:
        """Until at most `most` requests of this connection are not answered yet."""
        while len(self.seats) > most:
            self.answered.clear()
            self.answered.wait()
