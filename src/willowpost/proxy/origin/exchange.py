"""One request to one address over HTTP/1.1: connect, send, read.

And check that the answer is whole.
"""

import base64
import time
from dataclasses import dataclass, field
from enum import Enum

from gevent import socket

from willowpost.proxy.origin.failure import ExchangeFailure
from willowpost.proxy.origin.instance_check import BYTES_MOST, InstanceCheck
from willowpost.proxy.origin.reading import AnswerParser
from willowpost.shell.mesh import split
from willowpost.shell.parsing import HTTPParseError

CONNECT_SECONDS = 1.0
BLOCK = 64 * 1024
FOREIGN_MOST = 2  # answers to others that are passed over before our own


class Phase(Enum):
    CONNECT = "connect"
    INSTANCE_CHECK = "instance_check"
    SEND = "send"
    READ = "read"
    DONE = "done"


@dataclass(slots=True)
class WholeAnswer:
    """Invariant: `body` is the whole body as the origin framed it, unless `rest` goes on with it."""

    status: int
    headers: list = field(default_factory=list)
    body: bytes = b""
    rest: object = None  # an iterator over what follows, for oversized answers

    def header(self, name: str) -> str | None:
        return next((value for held, value in self.headers if held == name), None)

    def lowered(self) -> dict[str, str]:
        """Repeated headers joined, as a list header may be."""
        joined = {}
        for name, value in self.headers:
            joined[name] = f"{joined[name]}, {value}" if name in joined else value
        return joined


def head_of(method: str, target: str, headers: list, body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def digests_of(headers: dict) -> list[tuple[str, str]]:
    """(algorithm, base64) that the origin says of its content: RFC 9530 and the older Digest."""
    found = []
    for name in ("content-digest", "digest"):
        for part in headers.get(name, "").split(","):
            kind, _, value = part.strip().partition("=")
            if kind.lower() in ("sha-256", "sha-512"):
                found.append((kind.lower(), value.strip().strip(":")))
    return found


def _running(kind):
    import hashlib  # it loads OpenSSL (4 MB), and few origins name digests

    return hashlib.new(kind.replace("-", ""))


class Digester:
    def __init__(self, said):
        self.said = [(_running(kind), value) for kind, value in said]

    def eat(self, data: bytes) -> None:
        for running, _ in self.said:
            running.update(data)

    def right(self) -> bool:
        return all(
            base64.b64encode(running.digest()).decode() == value for running, value in self.said
        )


@dataclass(frozen=True, slots=True)
class Echo:
    """Invariant.

    An answer whose `header` names another id than `name` answers somebody else's request.
    """

    header: str
    name: str

    def foreign(self, headers) -> bool:
        return any(held == self.header and value != self.name for held, value in headers)


class Exchange:
    """Invariant: run() gives a whole, checked answer to this very request.

    Or raises ExchangeFailure saying whether a byte may have left.
    """

    def __init__(self, address: str, connection=None):
        self.address = address
        self.connection = connection
        self.phase = Phase.CONNECT if connection is None else Phase.SEND
        self.reusable = False
        self.reused = connection is not None
        # what the answer said of how long an idle connection is kept
        self.keep: str | None = None

    def connect(self, seconds: float = CONNECT_SECONDS) -> None:
        try:
            self.connection = socket.create_connection(
                split(self.address), timeout=min(seconds, CONNECT_SECONDS)
            )
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:
            raise ExchangeFailure(
                f"connect: {problem}",
                sent=False,
                died=isinstance(problem, ConnectionRefusedError),
                silent=isinstance(problem, TimeoutError),
            )
        self.phase = Phase.SEND

    def instance_check(self, instance_check: InstanceCheck, seconds: float) -> None:
        """Invariant: nothing of the request has left, whatever comes of it."""
        self.phase = Phase.INSTANCE_CHECK
        asked = head_of(
            "GET", instance_check.path, [("host", self.address), ("via", "1.1 willowpost")], b""
        )
        answer = self._asked("GET", asked, seconds, BYTES_MOST, False, None)
        instance_check.judge(answer)
        if answer.rest is not None or not self.reusable:
            raise ExchangeFailure("instance check: does not keep the connection", sent=False)
        self.phase, self.reusable = Phase.SEND, False

    def run(
        self,
        method: str,
        target: str,
        headers: list,
        body: bytes,
        seconds: float,
        whole_max: int,
        echo: Echo | None = None,
    ) -> WholeAnswer:
        return self._asked(
            method, head_of(method, target, headers, body) + body, seconds, whole_max, True, echo
        )

    def _asked(self, method, asked, seconds, whole_max, sent, echo):
        self.until = time.monotonic() + seconds
        try:
            self.connection.settimeout(seconds)
            self.connection.sendall(asked)
            self.phase = Phase.READ if sent else self.phase
            return self._read(method, whole_max, echo)
        except (OSError, HTTPParseError, ValueError) as problem:
            died = self.reused and isinstance(problem, ConnectionError)
            late = isinstance(problem, TimeoutError)
            raise ExchangeFailure(
                f"{self.phase.value}: {'deadline' if late else problem}",
                sent=sent,
                died=died,
                silent=late,
            )

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _recv(self) -> bytes:
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError("deadline")
        self.connection.settimeout(left)
        return self.connection.recv(BLOCK)

    def _read(self, method, whole_max, echo):
        behind = b""
        for _ in range(1 + FOREIGN_MOST):
            parser = AnswerParser(method)
            answer, length, raw = self._head(parser, behind)
            if echo is None or not echo.foreign(answer.headers):
                return self._body(parser, answer, length, whole_max)
            behind = self._pass_over(parser, length, raw)
        raise ValueError("answers to other requests")

    def _head(self, parser, behind):
        raw = b""
        while not parser.headed:
            data, behind = behind or self._recv(), b""
            raw += data
            if not data and not parser.begun:
                raise ConnectionResetError("connection closed")
            parser.eat(data)
            if not data and not parser.headed:
                raise ValueError("the answer ended short")
        answer = WholeAnswer(parser.status, parser.headers)
        said = answer.lowered()
        parser.bodyless = parser.bodyless or parser.status in (204, 304)
        parser.said = said
        length = said.get("content-length")
        chunked = "chunked" in said.get("transfer-encoding", "").lower()
        if length is not None and (chunked or not length.isdigit()):
            raise ValueError("an answer framed in two routes")
        parser.digester = Digester([] if parser.bodyless else digests_of(said))
        if not parser.bodyless and length is None and not chunked and not parser.digester.said:
            raise ValueError("an answer whose end cannot be told")
        return answer, length, raw

    def _pass_over(self, parser, length, raw) -> bytes:
        """A foreign answer: ours may follow it, but only where this one's end can be told.

        Returns what came behind it.
        """
        if length is None or parser.bodyless:
            raise ValueError("an answer to another request")
        self.spoilt = True
        end = raw.index(b"\r\n\r\n") + 4 + int(length)
        while len(raw) < end:
            data = self._recv()
            if not data:
                raise ConnectionResetError("connection closed")
            raw += data
        return raw[end:]

    spoilt = False  # a foreign answer came: nothing more is asked on this connection

    def _body(self, parser, answer, length, whole_max):
        if not parser.bodyless and length is not None and int(length) > whole_max:
            answer.rest = self._stream(parser, length)
            return answer
        while not parser.complete:
            data = self._recv()
            parser.eat(data)
            if not data and not parser.complete:
                break
            if parser.size > whole_max:
                answer.rest = self._stream(parser, length)
                return answer
        answer.body = (
            b""
            if parser.bodyless
            else parser.blocks[0]
            if len(parser.blocks) == 1
            else b"".join(parser.blocks)
        )
        parser.digester.eat(answer.body)
        self._check(parser, length, len(answer.body))
        return answer

    def _check(self, parser, length, size):
        if not parser.complete or (
            not parser.bodyless and length is not None and size != int(length)
        ):
            raise ValueError("the answer ended short")
        if not parser.digester.right():
            raise ValueError("the answer is not what its digest says")
        self.phase = Phase.DONE
        self.keep = parser.said.get("keep-alive")
        self.reusable = not parser.more and not self.spoilt and parser.should_keep_alive()

    def _stream(self, parser, length):
        """Passes on all but the last block as it comes.

        The last only when the whole is known to be right.
        """
        held, size = b"", 0
        try:
            while True:
                blocks, parser.blocks = parser.blocks, []
                for block in blocks:
                    if held:
                        yield held
                    held, size = block, size + len(block)
                    parser.digester.eat(block)
                if parser.complete:
                    break
                data = self._recv()
                parser.eat(data)
                if not data and not parser.complete:
                    break
            self._check(parser, length, size)
            yield held
        finally:
            self.close()
