"""The in-memory cache: entries by key and variant, and purges."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from itertools import takewhile

from willowpost.state.entries import Purge, PurgeKind
from willowpost.state.tables import Tables

BYTES_MOST = 128 * 1024 * 1024
VARIANTS_MOST = 16


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored response; its body is whole.

    Attributes:
        variant: (header name, value) pairs of the request that the response varies by.
        born_at: When the response was generated, by this process's clock, in µs.
        lifetime: How long it is fresh after `born_at`, in µs.
        slot: The least log slot known to any daemon that the fetch passed when it began. Every
            purge in that slot or a later one removes the entry.
        public: Whether it may answer requests with an Authorization header.
        tags: The tags that the origin gave it, for purges by tag.
    """

    host: str
    target: str
    variant: tuple
    status: int
    headers: tuple
    body: bytes
    born_at: int
    lifetime: int
    slot: int
    public: bool = False  # may answer requests that carry Authorization
    tags: tuple = ()  # what a purge by tag hits, as the origin said

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def size(self) -> int:
        """Bytes counted against the cache's limit: body, headers and a fixed overhead."""
        return len(self.body) + 512 + sum(len(name) + len(value) for name, value in self.headers)

    def age(self, now: int) -> int:
        """How old the response is, in µs."""
        return max(0, now - self.born_at)

    def fresh(self, now: int) -> bool:
        """Whether it may be served without revalidation."""
        return self.age(now) < self.lifetime


def hits(purge: Purge, host: str, target: str, tags: tuple = ()) -> bool:
    """Whether a purge removes what is stored for that host and target."""
    if purge.kind == PurgeKind.TAG:
        return purge.path in tags
    if purge.host not in ("*", "", host):
        return False
    if purge.kind == PurgeKind.ALL:
        return True
    if purge.kind == PurgeKind.PREFIX:
        return target.startswith(purge.path)
    return purge.path in (target, target.partition("?")[0])


class CacheStore:
    """A cache with least-recently-used eviction.

    No entry is older than a purge that hits it, and the sum of the entries' sizes is at most `most`
    bytes.

    Attributes:
        size: Sum of the entries' sizes, in bytes.
        slot: The log slot up to which purges were carried out.
        held: (host, target) to the variants stored, least recently used key first.
        floor: Purges before this slot are no longer known one by one.
    """

    def __init__(self, most: int = BYTES_MOST):
        self.most = most
        self.size = 0
        self.slot = 0
        self.held: OrderedDict[tuple, tuple[Entry, ...]] = OrderedDict()
        self.tagged: dict[str, set] = {}  # tag -> keys of what is held that carries it
        self.purges: tuple = ()
        self.floor = 0

    def find(self, host: str, target: str, request: dict) -> Entry | None:
        """The stored variant that matches a request, fresh or stale, or None.

        Args:
            host: Lower case, without port.
            target: Path and query.
            request: The request's headers, lower-case names.
        """
        entries = self.held.get((host, target))
        if entries is None:
            return None
        self.held.move_to_end((host, target))
        return next(
            (
                entry
                for entry in entries
                if (entry.public or "authorization" not in request)
                and all(request.get(name, "") == value for name, value in entry.variant)
            ),
            None,
        )

    def keep(self, entry: Entry) -> bool:
        """Stores an entry in place of the same variant, and evicts others to make room.

        Returns:
            False, with nothing stored, if a purge has hit it since its fetch began or if it is
            larger than an eighth of the cache.
        """
        if (
            self.purged_since(entry.slot, entry.host, entry.target, entry.tags)
            or entry.size > self.most // 8
        ):
            return False
        key = (entry.host, entry.target)
        kept = tuple(other for other in self.held.get(key, ()) if other.variant != entry.variant)
        dropped = kept[VARIANTS_MOST - 1 :]
        self.size += (
            entry.size
            - sum(other.size for other in self.held.get(key, ()))
            + sum(other.size for other in kept)
            - sum(other.size for other in dropped)
        )
        before = self.held.get(key, ())
        self.held[key] = (entry, *kept[: VARIANTS_MOST - 1])
        self.held.move_to_end(key)
        self._untag(key, before, self.held[key])
        for tag in entry.tags:
            self.tagged.setdefault(tag, set()).add(key)
        while self.size > self.most:
            self._drop(next(iter(self.held)))
        return True

    def refresh(
        self, entry: Entry, headers: tuple, born_at: int, lifetime: int, slot: int, tags: tuple
    ) -> Entry:
        """Stores the entry as a revalidation confirmed it, with the new tags, and returns it."""
        renewed = replace(
            entry, headers=headers, born_at=born_at, lifetime=lifetime, slot=slot, tags=tags
        )
        self.keep(renewed)
        return renewed

    def drop(self, entry: Entry) -> None:
        """Removes all variants of the entry's key."""
        self._drop((entry.host, entry.target))

    def purged_since(self, slot: int, host: str, target: str, tags: tuple = ()) -> bool:
        """Whether a purge in `slot` or later hits this host and target.

        Also true if `slot` is so old that the purges after it are no longer all known.
        """
        if slot < self.floor:
            return True
        later = takewhile(lambda purge: purge.slot >= slot, reversed(self.purges))
        return any(hits(purge, host, target, tags) for purge in later)

    def purge(self, tables: Tables) -> None:
        """Carries out all purges in the tables that are new to the cache.

        If some of them are no longer listed, the whole cache is cleared.
        """
        before, self.slot = self.slot, tables.slot
        self.purges, self.floor = tables.purges, tables.purge_floor
        if before < tables.purge_floor:
            self.held.clear()
            self.tagged.clear()
            self.size = 0
            return
        fresh = list(takewhile(lambda purge: purge.slot >= before, reversed(tables.purges)))
        if fresh and self.held:
            items = {(purge.host, purge.path) for purge in fresh if purge.kind == PurgeKind.ITEM}
            tags = {purge.path for purge in fresh if purge.kind == PurgeKind.TAG}
            wide = [purge for purge in fresh if purge.kind not in (PurgeKind.ITEM, PurgeKind.TAG)]
            struck = {
                key
                for tag in tags
                for key in self.tagged.get(tag, ())
                if any(tag in entry.tags for entry in self.held.get(key, ()))
            }
            for key in struck | {
                key for key in self.held if (items or wide) and self._struck(key, items, wide)
            }:
                self._drop(key)

    def _struck(self, key, items, wide):
        host, target = key
        paths = (target, target.partition("?")[0])
        return any((name, path) in items for name in (host, "*", "") for path in paths) or any(
            hits(purge, host, target) for purge in wide
        )

    def _drop(self, key):
        entries = self.held.pop(key, ())
        self.size -= sum(entry.size for entry in entries)
        self._untag(key, entries, ())

    def _untag(self, key, before, after):
        for tag in {tag for entry in before for tag in entry.tags} - {
            tag for entry in after for tag in entry.tags
        }:
            keys = self.tagged.get(tag, set())
            keys.discard(key)
            if not keys:
                self.tagged.pop(tag, None)
