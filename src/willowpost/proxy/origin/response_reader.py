"""Reads and checks the response to one request, skipping responses to other requests."""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Protocol

from willowpost.proxy.origin.content_digest import DigestVerifier, stated_digests
from willowpost.proxy.origin.framing import BODYLESS_STATUSES, content_length, head_end
from willowpost.proxy.origin.response import OriginResponse, RequestIdEcho
from willowpost.proxy.origin.response_buffering import ResponseBuffering
from willowpost.shell.response_parser import ResponseParser

MAX_HEAD_BYTES = 256 * 1024  # of all heads, the interim ones counted, until the final one ends
MAX_SKIPPED_RESPONSES = 2  # responses to other requests before the right one


class ResponseSource(Protocol):
    """The connection that a response is read from.

    Attributes:
        is_reused: Whether an earlier request was sent on the connection.
        send_error: The error that broke the connection while the request was sent, or None.
    """

    @property
    def is_reused(self) -> bool:
        """Whether an earlier request was sent on the connection."""

    @property
    def send_error(self) -> OSError | None:
        """The error that broke the connection while the request was sent, or None."""

    def receive(self) -> bytes:
        """Returns the next bytes, empty at the connection's end."""

    def complete(self, is_reusable: bool, keep_alive: str | None) -> None:
        """Takes notice of a complete response."""

    def close(self) -> None:
        """Closes the connection."""


@dataclass(slots=True)
class IncomingResponse:
    """A response whose final head is complete.

    Attributes:
        parser: Parses what is received.
        response: The response, its body still missing.
        headers: Its headers by lower-case name.
        content_length: Its Content-Length in bytes, or None.
        digest: Verifies its content.
        received: All bytes received up to and with the final head, and what came with it.
    """

    parser: ResponseParser
    response: OriginResponse
    headers: dict[str, str]
    content_length: int | None
    digest: DigestVerifier
    received: bytes


class ResponseReader:
    """Reads one response from a connection.

    What read() returns is complete and answers this very request; a body streamed as its `stream`
    ends with an exception if it is not.

    Args:
        source: Gives the data; its `complete()` is called after a complete response.
    """

    __slots__ = ("_is_ambiguous", "_source")

    def __init__(self, source: ResponseSource) -> None:
        self._source = source
        # something was sent or received that leaves open what comes next on the connection
        self._is_ambiguous = source.send_error is not None

    def read(
        self, method: str, buffering: ResponseBuffering, echo: RequestIdEcho | None
    ) -> OriginResponse:
        """Returns the response to this request.

        Args:
            method: The request's method.
            buffering: Whether the body is read into memory; else it comes as the response's
                `stream`.
            echo: The request id that the response must carry, or None.

        Raises:
            OSError: The connection broke, or the deadline has passed (TimeoutError).
            HTTPParseError: The bytes are no valid response.
            ValueError: The response is incomplete, or answers another request.
        """
        buffered = b""
        for _ in range(1 + MAX_SKIPPED_RESPONSES):
            incoming = self._read_head(ResponseParser(method), buffered)
            headers = incoming.response.headers
            if echo is None or not echo.names_other_request(headers):
                self._check_request_id(incoming.response, echo)
                return self._read_body(incoming, buffering)
            buffered = self._skip(incoming)
        raise ValueError("answers to other requests")

    def _check_request_id(self, response: OriginResponse, echo: RequestIdEcho | None) -> None:
        """Checks a response that names no other request.

        A response without any id can be ours only if nothing else was sent on the connection.

        Raises:
            ValueError: It is not known which request it answers.
        """
        if echo is None or echo.names_this_request(response.headers):
            return
        if self._source.is_reused or self._is_ambiguous:
            raise ValueError("an answer that does not say to which request")
        self._is_ambiguous = True

    def _read_head(self, parser: ResponseParser, buffered: bytes) -> IncomingResponse:
        received = b""
        while not parser.has_final_head:
            data, buffered = buffered or self._source.receive(), b""
            received += data
            if not data and not parser.has_begun:
                raise ConnectionResetError("connection closed")
            parser.parse(data)
            if not parser.has_final_head:
                _check_head_size(data, received)
        response = OriginResponse(parser.status, parser.headers)
        headers = response.headers_by_name()
        parser.is_bodyless = parser.is_bodyless or parser.status in BODYLESS_STATUSES
        digest = DigestVerifier([] if parser.is_bodyless else stated_digests(headers))
        length = content_length(headers, parser.is_bodyless, digest.has_digests)
        return IncomingResponse(parser, response, headers, length, digest, received)

    def _skip(self, incoming: IncomingResponse) -> bytes:
        """Skips a response to another request and returns the bytes behind it.

        Our response may follow only if the end of this one is known. The connection is not used
        again.

        Raises:
            ValueError: The response's end is not known.
            ConnectionResetError: The connection was closed.
        """
        length, received = incoming.content_length, incoming.received
        if length is None or incoming.parser.is_bodyless:
            raise ValueError("an answer to another request")
        self._is_ambiguous = True
        end = head_end(received, incoming.parser.interim_heads) + length
        while len(received) < end:
            data = self._source.receive()
            if not data:
                raise ConnectionResetError("connection closed")
            received += data
        return received[end:]

    def _read_body(
        self, incoming: IncomingResponse, buffering: ResponseBuffering
    ) -> OriginResponse:
        parser, response, length = incoming.parser, incoming.response, incoming.content_length
        if not parser.is_bodyless and length is not None and not buffering.may_hold(length):
            response.stream = self._stream(incoming)
            return response
        while not parser.is_complete:
            if not self._receive_more(parser):
                break
            if not buffering.may_hold(parser.body_size):
                response.stream = self._stream(incoming)
                return response
        response.body = b"" if parser.is_bodyless else b"".join(parser.blocks)
        incoming.digest.update(response.body)
        self._finish(incoming, len(response.body))
        return response

    def _receive_more(self, parser: ResponseParser) -> bool:
        """Receives and parses once; False if the connection ended before the response did."""
        data = self._source.receive()
        parser.parse(data)
        return bool(data) or parser.is_complete

    def _finish(self, incoming: IncomingResponse, body_size: int) -> None:
        """Checks a response that has ended, and marks whether its connection can be reused.

        Raises:
            ValueError: The body ended short or does not match its digest.
        """
        parser, length = incoming.parser, incoming.content_length
        is_short = not parser.is_bodyless and length is not None and body_size != length
        if not parser.is_complete or is_short:
            raise ValueError("the answer ended short")
        if not incoming.digest.matches():
            raise ValueError("the answer is not what its digest says")
        is_reusable = (
            not parser.has_excess_bytes and not self._is_ambiguous and parser.should_keep_alive()
        )
        self._source.complete(is_reusable, incoming.headers.get("keep-alive"))

    def _stream(self, incoming: IncomingResponse) -> Generator[bytes, None, None]:
        """Yields the body's blocks as they come, the last one only after the checks.

        Raises:
            ValueError: The body ended short or does not match its digest.
        """
        parser, last_block, body_size = incoming.parser, b"", 0
        try:
            while True:
                for block in parser.take_blocks():
                    if last_block:
                        yield last_block
                    last_block, body_size = block, body_size + len(block)
                    incoming.digest.update(block)
                if parser.is_complete or not self._receive_more(parser):
                    break
            self._finish(incoming, body_size)
            yield last_block
        finally:
            self._source.close()


def _check_head_size(data: bytes, received: bytes) -> None:
    """Checks that a head which is not complete yet may go on."""
    if not data:
        raise ValueError("the answer ended short")
    if len(received) > MAX_HEAD_BYTES:
        raise ValueError("heads over the limit")
