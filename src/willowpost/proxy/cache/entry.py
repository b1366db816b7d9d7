"""A stored response of the cache (RFC 9111, 3)."""

from dataclasses import dataclass

Header = tuple[str, str]
CacheKey = tuple[str, str]  # host and target (RFC 9111, 2)
ENTRY_OVERHEAD_BYTES = 512


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored response; its body is complete.

    Attributes:
        host: Lower case, without port.
        target: Path and query.
        variant: (header name, value) pairs of the request that the response varies by.
        status: The HTTP status code.
        headers: (lower-case name, value) pairs.
        body: The complete body.
        born_at: When the response was generated, by this process's clock, in µs.
        lifetime: How long it is fresh after `born_at`, in µs.
        slot: The least log slot known to any daemon that the fetch passed when it began. Every
            purge in that slot or a later one removes the entry.
        public: Whether it may answer requests with an Authorization header.
        tags: The tags that the origin gave it, for purges by tag.
    """

    host: str
    target: str
    variant: tuple[Header, ...]
    status: int
    headers: tuple[Header, ...]
    body: bytes
    born_at: int
    lifetime: int
    slot: int
    public: bool = False
    tags: tuple[str, ...] = ()

    @property
    def key(self) -> CacheKey:
        """The host and target that it is stored under."""
        return self.host, self.target

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
        return max(0, now - self.born_at)

    def fresh(self, now: int) -> bool:
        """Whether it may be served without revalidation."""
        return self.age(now) < self.lifetime
