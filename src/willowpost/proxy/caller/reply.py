"""What is written to a caller."""

from willowpost.proxy.origin.framing import BODYLESS_STATUSES
from willowpost.shell.web import status_line


class Reply:
    """What is to be written: a whole body, or a generator of pieces that may break off."""

    __slots__ = ("body", "code", "headers", "pieces")

    def __init__(self, code: int, headers: list, body: bytes = b"", pieces=None):
        self.code, self.headers, self.body, self.pieces = code, headers, body, pieces

    def discard(self) -> None:
        """Ends the exchange that the pieces come from, if they have not all been written."""
        if self.pieces is not None:
            self.pieces.close()

    def head(self, close: bool) -> tuple[bytes, bool]:
        """The head as it is written, and whether the body goes in chunks."""
        headers = self.headers
        framed = any(name == "content-length" for name, _ in headers)
        chunked = self.pieces is not None and not framed
        if self.pieces is None and not framed and self.code not in BODYLESS_STATUSES:
            headers = [*headers, ("content-length", str(len(self.body)))]
        lines = [
            f"HTTP/1.1 {status_line(self.code)}",
            *(f"{name}: {value}" for name, value in headers),
            *(("transfer-encoding: chunked",) if chunked else ()),
            *(("connection: close",) if close else ()),
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"), chunked
