"""The response that is written to a client."""

from collections.abc import Generator, Sequence
from dataclasses import dataclass

from willowpost.proxy.origin.framing import BODYLESS_STATUSES
from willowpost.shell.web import status_line

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class SerializedHead:
    """A response's head as it is written.

    Attributes:
        data: The status line and the headers, with the empty line that ends them.
        is_chunked: Whether the body follows in chunks (RFC 9112, 7.1).
    """

    data: bytes
    is_chunked: bool


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A response with a complete body, or with a generator of blocks that may break off.

    Attributes:
        status: The HTTP status code.
        headers: (lower-case name, value) pairs.
        body: The complete body; empty if `blocks` is set.
        blocks: The body in blocks; closing it ends the exchange that they come from.
    """

    status: int
    headers: Sequence[Header]
    body: bytes = b""
    blocks: Generator[bytes, None, None] | None = None

    def discard(self) -> None:
        """Ends the exchange that the blocks come from, if they have not all been written."""
        if self.blocks is not None:
            self.blocks.close()

    def serialize_head(self, closes_connection: bool) -> SerializedHead:
        """Returns the head with the headers that frame the body."""
        headers = list(self.headers)
        has_length = any(name == "content-length" for name, _ in headers)
        is_chunked = self.blocks is not None and not has_length
        if self.blocks is None and not has_length and self.status not in BODYLESS_STATUSES:
            headers.append(("content-length", str(len(self.body))))
        if is_chunked:
            headers.append(("transfer-encoding", "chunked"))
        if closes_connection:
            headers.append(("connection", "close"))
        lines = [
            f"HTTP/1.1 {status_line(self.status)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        return SerializedHead(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"), is_chunked)
