"""A stored response of the cache (RFC 9111, 3)."""

from dataclasses import dataclass
from typing import NamedTuple

Header = tuple[str, str]
ENTRY_OVERHEAD_BYTES = 512


class CacheKey(NamedTuple):
    """What a stored response is found by (RFC 9111, 2).

    A response belongs to the service that it came from: versions of another service's objects may
    carry the same tags, so it neither answers requests to that nor is revalidated there.

    Attributes:
        host: Lower case, without port.
        target: Path and query.
        service: The service that it came from.
    """

    host: str
    target: str
    service: str


def freshness_lifetime(stated: int | None, keep_us: int) -> int:
    """Returns how long a response is fresh, in µs: no longer than its origin and its route allow.

    Args:
        stated: What the origin allows, in µs; None if it did not say.
        keep_us: What the route allows, in µs.
    """
    return keep_us if stated is None else min(stated, keep_us)


@dataclass(frozen=True, slots=True)
class CacheEntry:
    """A stored response; its body is complete.

    Attributes:
        host: Lower case, without port.
        target: Path and query.
        variant: (header name, value) pairs of the request that the response varies by.
        status: The HTTP status code.
        headers: (lower-case name, value) pairs.
        body: The complete body.
        generated_at: When the response was generated, by this process's clock, in µs.
        stated_lifetime: How long it is fresh after `generated_at` by its origin, in µs; None if the
            origin did not say, so that the route of each request alone decides.
        slot: The least log slot known to any daemon that the fetch passed when it began. Every
            purge in that slot or a later one removes the entry.
        is_public: Whether it may answer requests with an Authorization header.
        tags: The tags that the origin gave it, for purges by tag.
        service: The service that it came from.
    """

    host: str
    target: str
    variant: tuple[Header, ...]
    status: int
    headers: tuple[Header, ...]
    body: bytes
    generated_at: int
    stated_lifetime: int | None
    slot: int
    is_public: bool = False
    tags: tuple[str, ...] = ()
    service: str = ""

    @property
    def key(self) -> CacheKey:
        """What it is stored under."""
        return CacheKey(self.host, self.target, self.service)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def size_bytes(self) -> int:
        """Bytes counted against the cache's limit: body, headers and a fixed overhead."""
        headers_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + ENTRY_OVERHEAD_BYTES + headers_bytes

    def age(self, now: int) -> int:
        """Returns how old the response is, in µs."""
        return max(0, now - self.generated_at)

    def is_fresh(self, now: int, keep_us: int) -> bool:
        """Whether it may be served without revalidation.

        Args:
            now: This process's clock, in µs.
            keep_us: How long the route that the request has now lets responses be served, in µs.
        """
        return self.age(now) < freshness_lifetime(self.stated_lifetime, keep_us)
