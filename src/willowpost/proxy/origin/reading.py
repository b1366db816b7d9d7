"""Parses one response with geventhttpclient's parser and notes bytes that follow it."""

from willowpost.shell.parsing import HTTPParseError, HTTPResponseParser


class AnswerParser(HTTPResponseParser):
    """Parses the first final response; interim ones (1xx) are skipped.

    Attributes:
        blocks: The body's pieces that were received and not taken yet.
        size: Bytes of body received so far.
        headed: Whether the final head is complete.
        complete: Whether the response is complete.
        more: Whether bytes came behind the response; they belong to no request.
    """

    def __init__(self, method: str):
        super().__init__()
        self.bodyless = method == "HEAD"
        self.headers: list[tuple[str, str]] = []
        self.blocks: list[bytes] = []
        self.size = 0
        self.status = 0
        self.interim = 0  # heads of interim answers that came before the final one
        self.begun = self.headed = self.complete = self.more = self.broken = False
        self.name, self.value = None, None

    def eat(self, data: bytes) -> None:
        """Parses bytes from the socket; empty at its end.

        Raises:
            HTTPParseError: They are no response.
        """
        try:
            self.feed(data)
        except HTTPParseError:
            if not self.complete:
                raise
            self.more = True

    def _on_message_begin(self):
        if self.complete:
            self.more = True
            raise HTTPParseError("bytes behind the answer")
        self.begun = True

    def _on_status(self, text):
        pass

    def _on_header_field(self, text):
        if self.value is not None:
            self._flush()
        self.name = text if self.name is None else self.name + text

    def _on_header_value(self, text):
        self.value = text if self.value is None else self.value + text

    def _flush(self):
        if self.name is not None:
            self.headers.append((self.name.lower(), self.value or ""))
        self.name = self.value = None

    def _on_headers_complete(self):
        self._flush()
        self.status = self.get_code()
        self.headed = self.status >= 200
        if not self.headed:
            if self.status < 100:
                raise HTTPParseError("no status of an answer")
            self.headers = []
            self.interim += 1
        return self.bodyless

    def _on_body(self, data):
        if self.complete:
            self.more = True
            return
        self.blocks.append(bytes(data))
        self.size += len(data)

    def _on_message_complete(self):
        if self.headed:
            self.complete = True
