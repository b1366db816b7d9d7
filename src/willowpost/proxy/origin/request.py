"""A request as it is sent to an origin or a shield."""

from collections.abc import Sequence
from dataclasses import dataclass

from willowpost.proxy.origin.framing import request_head


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
    body: bytes = b""

    def serialize(self) -> bytes:
        """Returns the bytes that are sent."""
        return request_head(self.method, self.target, self.headers, self.body) + self.body
