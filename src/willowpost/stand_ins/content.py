"""The answers of stand-in origins: each has its identity, so that a wrong or mixed one shows."""

import base64
import hashlib
import json
import zlib
from dataclasses import dataclass

MIN_FILLER_BYTES, FILLER_SPREAD = 200, 20_000  # of what may be shared, by its path


@dataclass(frozen=True, slots=True)
class Content:
    """What an origin answers a request with.

    Attributes:
        path: of the request.
        query: of the request.
        user: who asks; empty for anybody.
        service: of the origin.
        version: of the content.
        wrote: the id of the write that ran; None for a read.
        max_age_seconds: how long it may be kept; 0 if it may not be shared.
        request_id: echoed; None if the request has none.
    """

    path: str
    query: str
    user: str
    service: str
    version: int
    wrote: str | None
    max_age_seconds: int
    request_id: str | None

    def body(self) -> bytes:
        """Return its identity as a line of JSON, and filler if it may be shared."""
        identity = {
            "path": self.path,
            "query": self.query,
            "user": self.user,
            "service": self.service,
            "version": self.version,
            "wrote": self.wrote,
        }
        text = json.dumps(identity).encode() + b"\n"
        if not self.max_age_seconds:
            return text
        return text + b"." * (MIN_FILLER_BYTES + zlib.crc32(self.path.encode()) % FILLER_SPREAD)

    def headers(self, body: bytes) -> list[tuple[str, str]]:
        """Return the headers for this body, but for its length."""
        digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
        age = self.max_age_seconds
        return [
            ("Content-Type", "text/plain"),
            ("Content-Digest", f"sha-256=:{digest}:"),
            *([("Wp-Request", self.request_id)] if self.request_id else []),
            ("ETag", f'"{self.version}-{len(body)}"'),
            ("Cache-Control", f"max-age={age}" if age else "private, no-store"),
        ]
