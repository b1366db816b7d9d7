"""Reads and checks the response to one request, skipping responses to other requests."""

from willowpost.proxy.origin.answer import Echo, WholeAnswer
from willowpost.proxy.origin.content_digest import Digester, digests_of
from willowpost.proxy.origin.framing import BODYLESS_STATUSES, content_length, head_end
from willowpost.proxy.origin.reading import AnswerParser

HEADS_MOST = 256 * 1024  # bytes of heads, the interim ones counted, until the final one is whole
FOREIGN_MOST = 2  # responses to other requests that are skipped before the right one


class AnswerReader:
    """Reads one response from a connection.

    What read() returns is complete and answers this very request; a body streamed as its `rest`
    ends with an exception if it is not.
    """

    __slots__ = ("exchange", "spoilt")

    def __init__(self, exchange):
        """Prepares to read.

        Args:
            exchange: Gives the data by `receive()`; its `ended()` is called after a complete
                response.
        """
        self.exchange = exchange
        # something went or came on the connection that leaves open what comes next on it
        self.spoilt = exchange.broken is not None

    def read(self, method: str, whole_max: int, echo: Echo | None) -> WholeAnswer:
        """The response to this request; a body over `whole_max` bytes comes as its `rest`.

        Args:
            method: The request's method.
            whole_max: The largest body that is read into memory, in bytes.
            echo: The request id that the response must bear, or None.

        Raises:
            OSError, HTTPParseError, ValueError: There is no valid response.
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
        """Checks a response that names no other request.

        A response without any id can be ours only if nothing else was sent on the connection.

        Raises:
            ValueError: It cannot be told which request it answers.
        """
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
        """Skips a response to another request and returns the bytes behind it.

        Our response may follow only if the end of this one is known. The connection is not used
        again.

        Raises:
            ValueError: The response's end cannot be told.
            ConnectionResetError: The connection was closed.
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
        """Yields the body's blocks as they come, the last one only after the checks.

        Raises:
            ValueError: The body ended short or does not match its digest.
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
