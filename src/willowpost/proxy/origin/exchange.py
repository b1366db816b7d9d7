"""One request to one address over HTTP/1.1: connect, send, read.

And check that the answer is whole. What is said of each case stands in
docs/design/control/exchange.md.
"""

import time
from enum import Enum

from gevent import socket

from willowpost.proxy.origin.answer import Echo, WholeAnswer
from willowpost.proxy.origin.content_digest import Digester, digests_of
from willowpost.proxy.origin.failure import ExchangeFailure
from willowpost.proxy.origin.framing import (
    BODYLESS_STATUSES,
    content_length,
    head_end,
    request_head,
)
from willowpost.proxy.origin.instance_check import BYTES_MOST, InstanceCheck
from willowpost.proxy.origin.reading import AnswerParser
from willowpost.shell.mesh import split
from willowpost.shell.parsing import HTTPParseError

CONNECT_SECONDS = 1.0
BLOCK = 64 * 1024
HEADS_MOST = 256 * 1024  # bytes of heads, the interim ones counted, until the final one is whole
FOREIGN_MOST = 2  # answers to others that are passed over before our own


class Phase(Enum):
    """How far an exchange has come."""

    CONNECT = "connect"
    INSTANCE_CHECK = "instance_check"
    SEND = "send"
    READ = "read"
    DONE = "done"


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
        # something came or went on the connection that leaves open what comes next on it
        self.spoilt = False
        # what the answer said of how long an idle connection is kept
        self.keep: str | None = None

    def connect(self, seconds: float = CONNECT_SECONDS) -> None:
        """Opens a connection of its own; an ExchangeFailure says that nothing was sent."""
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
        asked = request_head(
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
        """Sends the request once and waits at most `seconds` for its answer.

        Bodies over `whole_max` bytes come as the answer's `rest`.

        Raises:
            ExchangeFailure: there is no whole answer to this request.
        """
        asked = request_head(method, target, headers, body) + body
        return self._asked(method, asked, seconds, whole_max, True, echo)

    def close(self) -> None:
        """Ends the connection; it is not used again."""
        self.reusable = False
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _asked(self, method, asked, seconds, whole_max, sent, echo):
        self.until = time.monotonic() + seconds
        try:
            broken = self._send(asked, seconds)
            self.phase = Phase.READ if sent else self.phase
            return self._answer(method, whole_max, echo, broken)
        except (OSError, HTTPParseError, ValueError) as problem:
            died = self.reused and isinstance(problem, ConnectionError)
            late = isinstance(problem, TimeoutError)
            raise ExchangeFailure(
                f"{self.phase.value}: {'deadline' if late else problem}",
                sent=sent,
                died=died,
                silent=late,
            )

    def _send(self, asked, seconds) -> OSError | None:
        """What broke the sending off, if the origin may have answered before it did."""
        self.connection.settimeout(seconds)
        try:
            self.connection.sendall(asked)
        except ConnectionError as problem:
            self.spoilt = True
            return problem
        return None

    def _answer(self, method, whole_max, echo, broken):
        try:
            return self._read(method, whole_max, echo)
        except (OSError, HTTPParseError, ValueError):
            if broken is None:
                raise
        raise broken

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
                self._check_echo(answer, echo)
                return self._body(parser, answer, length, whole_max)
            behind = self._pass_over(parser, length, raw)
        raise ValueError("answers to other requests")

    def _check_echo(self, answer, echo):
        """An answer without any id can be ours only if nothing else was asked on the connection."""
        if echo is None or echo.confirmed(answer.headers):
            return
        if self.reused or self.spoilt:
            raise ValueError("an answer that does not say to which request")
        self.spoilt = True

    def _head(self, parser, behind):
        raw = b""
        while not parser.headed:
            data, behind = behind or self._recv(), b""
            raw += data
            if not data and not parser.begun:
                raise ConnectionResetError("connection closed")
            parser.eat(data)
            if not parser.headed and (not data or len(raw) > HEADS_MOST):
                raise ValueError("the answer ended short" if not data else "heads over the limit")
        answer = WholeAnswer(parser.status, parser.headers)
        said = answer.lowered()
        parser.bodyless = parser.bodyless or parser.status in BODYLESS_STATUSES
        parser.said = said
        parser.digester = Digester([] if parser.bodyless else digests_of(said))
        length = content_length(said, parser.bodyless, bool(parser.digester.said))
        return answer, length, raw

    def _pass_over(self, parser, length, raw) -> bytes:
        """A foreign answer: ours may follow it, but only where this one's end can be told.

        Returns what came behind it. Nothing more is asked on this connection.
        """
        if length is None or parser.bodyless:
            raise ValueError("an answer to another request")
        self.spoilt = True
        end = head_end(raw, parser.interim) + length
        while len(raw) < end:
            data = self._recv()
            if not data:
                raise ConnectionResetError("connection closed")
            raw += data
        return raw[end:]

    def _body(self, parser, answer, length, whole_max):
        if not parser.bodyless and length is not None and length > whole_max:
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
        answer.body = self._joined(parser)
        parser.digester.eat(answer.body)
        self._check(parser, length, len(answer.body))
        return answer

    def _joined(self, parser):
        if parser.bodyless:
            return b""
        return parser.blocks[0] if len(parser.blocks) == 1 else b"".join(parser.blocks)

    def _check(self, parser, length, size):
        if not parser.complete or (not parser.bodyless and length is not None and size != length):
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
