"""A request as it is sent to an origin or a shield."""

from collections.abc import Sequence
from dataclasses import dataclass

from willowpost.proxy.origin.framing import request_head
from willowpost.proxy.request_body import NO_BODY, RequestBody

MAX_JOINED_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class OriginRequest:
    """One HTTP/1.1 request.

    Attributes:
        method: The HTTP method.
        target: Path and query.
        headers: (name, value) pairs in the order in which they are sent, without Content-Length.
        body: The complete body.
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]] = ()
    body: RequestBody = NO_BODY

    def serialize(self) -> tuple[bytes | bytearray, ...]:
        """Returns the bytes that are sent, in blocks; a short body comes with the head."""
        head = request_head(self.method, self.target, self.headers, self.body.length)
        if self.body.length <= MAX_JOINED_BODY_BYTES:
            return (b"".join((head, *self.body.blocks)),)
        return (head, *self.body.blocks)
