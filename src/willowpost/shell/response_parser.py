"""Parses one response with geventhttpclient's parser and detects bytes that follow it."""

from willowpost.shell.http_parser import HTTPParseError, HTTPResponseParser

FIRST_VALID_STATUS = 100
FIRST_FINAL_STATUS = 200


class ResponseParser(HTTPResponseParser):  # type: ignore[misc]  # a C extension without types
    """Parses the first final response; interim ones (1xx) are skipped.

    The methods that begin with `_on_` are called by the parser's C code.

    Attributes:
        is_bodyless: Whether the response has no body (RFC 9112, 6.3).
        headers: (lower-case name, value) pairs of the final response.
        status: The status code of the last head that was parsed.
        blocks: The blocks of the body that were received and not taken yet.
        body_size: Bytes of body received so far.
        interim_heads: Heads of interim responses before the final one.
        has_begun: Whether a response has begun.
        has_final_head: Whether the final head is complete.
        is_complete: Whether the response is complete.
        has_excess_bytes: Whether bytes came behind the response; they belong to no request.
    """

    def __init__(self, method: str) -> None:
        super().__init__()
        self.is_bodyless = method == "HEAD"
        self.headers: list[tuple[str, str]] = []
        self.status = 0
        self.blocks: list[bytes] = []
        self.body_size = 0
        self.interim_heads = 0
        self.has_begun = False
        self.has_final_head = False
        self.is_complete = False
        self.has_excess_bytes = False
        self._header_name: str | None = None
        self._header_value: str | None = None

    def parse(self, data: bytes) -> None:
        """Parses bytes from the socket; empty at its end.

        Raises:
            HTTPParseError: They are no valid response.
        """
        try:
            self.feed(data)
        except HTTPParseError:
            if not self.is_complete:
                raise
            self.has_excess_bytes = True

    def take_blocks(self) -> list[bytes]:
        """Returns and forgets the blocks of the body that were received."""
        blocks, self.blocks = self.blocks, []
        return blocks

    def _on_message_begin(self) -> None:
        if self.is_complete:
            self.has_excess_bytes = True
            raise HTTPParseError("bytes behind the answer")
        self.has_begun = True

    def _on_status(self, text: str) -> None:
        """Ignores the reason phrase."""

    def _on_header_field(self, text: str) -> None:
        if self._header_value is not None:
            self._add_header()
        self._header_name = text if self._header_name is None else self._header_name + text

    def _on_header_value(self, text: str) -> None:
        self._header_value = text if self._header_value is None else self._header_value + text

    def _add_header(self) -> None:
        if self._header_name is not None:
            self.headers.append((self._header_name.lower(), self._header_value or ""))
        self._header_name = self._header_value = None

    def _on_headers_complete(self) -> bool:
        self._add_header()
        self.status = self.get_code()
        self.has_final_head = self.status >= FIRST_FINAL_STATUS
        if not self.has_final_head:
            if self.status < FIRST_VALID_STATUS:
                raise HTTPParseError("no status of an answer")
            self.headers = []
            self.interim_heads += 1
        return self.is_bodyless

    def _on_body(self, data: bytes) -> None:
        if self.is_complete:
            self.has_excess_bytes = True
            return
        self.blocks.append(bytes(data))
        self.body_size += len(data)

    def _on_message_complete(self) -> None:
        if self.has_final_head:
            self.is_complete = True
