"""The in-memory cache: entries by key and variant, least-recently-used eviction, and purges."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import replace
from itertools import takewhile

from willowpost.proxy.cache.entry import CacheEntry, CacheKey, Header
from willowpost.proxy.cache.purges import PurgeMatcher, TagIndex, matches
from willowpost.state.entries import Purge
from willowpost.state.tables import Tables

MAX_CACHE_BYTES = 128 * 1024 * 1024
MAX_VARIANTS = 16  # of one key
MAX_ENTRY_FRACTION = 8  # an entry takes at most one in so many parts of the cache


class CacheStore:
    """A cache with least-recently-used eviction.

    No entry is older than a purge that removes it, and the sum of the entries' sizes is at most
    `max_bytes`.

    Attributes:
        size_bytes: Sum of the entries' sizes.
        slot: The log slot up to which purges were carried out.
        entries: The stored variants by key, least recently used key first.
        tag_index: The keys by tag.
        purges: The purges that are known one by one, in the order of their slots.
        purge_floor: Purges before this slot are no longer known one by one.
    """

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.slot = 0
        self.entries: OrderedDict[CacheKey, tuple[CacheEntry, ...]] = OrderedDict()
        self.tag_index = TagIndex()
        self.purges: tuple[Purge, ...] = ()
        self.purge_floor = 0

    def find(self, key: CacheKey, request_headers: Mapping[str, str]) -> CacheEntry | None:
        """Returns the stored variant that matches a request, fresh or stale, or None.

        Args:
            key: What is asked for, and of which service.
            request_headers: The request's headers, lower-case names.
        """
        variants = self.entries.get(key)
        if variants is None:
            return None
        self.entries.move_to_end(key)
        return next((entry for entry in variants if _may_answer(entry, request_headers)), None)

    def store(self, entry: CacheEntry) -> bool:
        """Stores an entry, which replaces that of the same variant, and evicts others to make room.

        Returns:
            False, with nothing stored, if a purge has removed it since its fetch began or if it is
            larger than an eighth of the cache.
        """
        is_purged = self.is_purged_since(entry.slot, entry.host, entry.target, entry.tags)
        if is_purged or entry.size_bytes > self.max_bytes // MAX_ENTRY_FRACTION:
            return False
        variants = self.entries.get(entry.key, ())
        others = tuple(other for other in variants if other.variant != entry.variant)
        self._replace(entry.key, (entry, *others[: MAX_VARIANTS - 1]))
        while self.size_bytes > self.max_bytes:
            self._remove(next(iter(self.entries)))
        return True

    def refresh(
        self,
        entry: CacheEntry,
        headers: tuple[Header, ...],
        generated_at: int,
        stated_lifetime: int | None,
        slot: int,
        tags: tuple[str, ...],
    ) -> CacheEntry:
        """Stores an entry as a revalidation confirmed it (RFC 9111, 4.3.4), and returns it."""
        refreshed = replace(
            entry,
            headers=headers,
            generated_at=generated_at,
            stated_lifetime=stated_lifetime,
            slot=slot,
            tags=tags,
        )
        self.store(refreshed)
        return refreshed

    def remove(self, entry: CacheEntry) -> None:
        """Removes all variants of the entry's key."""
        self._remove(entry.key)

    def is_purged_since(
        self, slot: int, host: str, target: str, tags: tuple[str, ...] = ()
    ) -> bool:
        """Whether a purge in `slot` or later removes this host and target.

        Also true if `slot` is so old that the purges after it are no longer all known.
        """
        if slot < self.purge_floor:
            return True
        later = takewhile(lambda purge: purge.slot >= slot, reversed(self.purges))
        return any(matches(purge, host, target, tags) for purge in later)

    def purge(self, tables: Tables) -> None:
        """Carries out all purges in the tables that are new to the cache.

        If some of them are no longer listed, the cache is emptied.
        """
        known_slot, self.slot = self.slot, tables.slot
        self.purges, self.purge_floor = tables.purges, tables.purge_floor
        if known_slot < tables.purge_floor:
            self._clear()
            return
        new_purges = list(takewhile(lambda purge: purge.slot >= known_slot, reversed(self.purges)))
        if new_purges and self.entries:
            for key in self._purged_keys(PurgeMatcher(new_purges)):
                self._remove(key)

    def _purged_keys(self, matcher: PurgeMatcher) -> set[CacheKey]:
        keys = self.tag_index.keys(matcher.tags)
        if matcher.has_key_purges:
            keys |= {key for key in self.entries if matcher.matches_key(key)}
        return keys

    def _clear(self) -> None:
        self.entries.clear()
        self.tag_index.clear()
        self.size_bytes = 0

    def _replace(self, key: CacheKey, variants: tuple[CacheEntry, ...]) -> None:
        """Stores the variants of a key as the most recently used."""
        before = self.entries.get(key, ())
        self.entries[key] = variants
        self.entries.move_to_end(key)
        self.size_bytes += _total_bytes(variants) - _total_bytes(before)
        self.tag_index.update(key, before, variants)

    def _remove(self, key: CacheKey) -> None:
        variants = self.entries.pop(key, ())
        self.size_bytes -= _total_bytes(variants)
        self.tag_index.update(key, variants, ())


def _total_bytes(entries: tuple[CacheEntry, ...]) -> int:
    return sum(entry.size_bytes for entry in entries)


def _may_answer(entry: CacheEntry, request_headers: Mapping[str, str]) -> bool:
    """Whether an entry matches a request's headers (RFC 9111, 3.5 and 4.1)."""
    if "authorization" in request_headers and not entry.is_public:
        return False
    return all(request_headers.get(name, "") == value for name, value in entry.variant)
