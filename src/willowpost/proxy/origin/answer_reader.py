"""Reads the answer to one request from a connection, past those to others, and checks it whole."""

from willowpost.proxy.origin.answer import Echo, WholeAnswer
from willowpost.proxy.origin.content_digest import Digester, digests_of
from willowpost.proxy.origin.framing import BODYLESS_STATUSES, content_length, head_end
from willowpost.proxy.origin.reading import AnswerParser

HEADS_MOST = 256 * 1024  # bytes of heads, the interim ones counted, until the final one is whole
FOREIGN_MOST = 2  # answers to others that are passed over before our own


class AnswerReader:
    """Invariant: what read() returns is whole and to this very request, or its `rest` breaks off."""

    __slots__ = ("exchange", "spoilt")

    def __init__(self, exchange):
        """Reads by the exchange's `receive()`, and tells its `ended()` of a whole answer."""
        self.exchange = exchange
        # something went or came on the connection that leaves open what comes next on it
        self.spoilt = exchange.broken is not None

    def read(self, method: str, whole_max: int, echo: Echo | None) -> WholeAnswer:
        """The answer to this request; its body, if over `whole_max` bytes, as its `rest`.

        Raises:
            OSError, HTTPParseError, ValueError: there is none.
        """
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
        if self.exchange.reused or self.spoilt:
            raise ValueError("an answer that does not say to which request")
        self.spoilt = True

    def _head(self, parser, behind):
        raw = b""
        while not parser.headed:
            data, behind = behind or self.exchange.receive(), b""
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
            data = self.exchange.receive()
            if not data:
                raise ConnectionResetError("connection closed")
            raw += data
        return raw[end:]

    def _body(self, parser, answer, length, whole_max):
        if not parser.bodyless and length is not None and length > whole_max:
            answer.rest = self._stream(parser, length)
            return answer
        while not parser.complete:
            data = self.exchange.receive()
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
        reusable = not parser.more and not self.spoilt and parser.should_keep_alive()
        self.exchange.ended(reusable, parser.said.get("keep-alive"))

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
                data = self.exchange.receive()
                parser.eat(data)
                if not data and not parser.complete:
                    break
            self._check(parser, length, size)
            yield held
        finally:
            self.exchange.close()
