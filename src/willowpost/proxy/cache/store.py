"""The cache in memory: entries by key and variant, purges that beat what was begun before them."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from itertools import takewhile

from willowpost.state.tables import Tables

BYTES_MOST = 128 * 1024 * 1024
VARIANTS_MOST = 16


@dataclass(frozen=True, slots=True)
class Entry:
    """Invariant: holds a whole answer.

    `slot` is the least slot known to any daemon on its way when its fetch began, so every purge of
    that slot or a later one beats it.
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
        return self.target.partition("?")[0]

    @property
    def size(self) -> int:
        return len(self.body) + 512 + sum(len(name) + len(value) for name, value in self.headers)

    def age(self, now: int) -> int:
        return max(0, now - self.born_at)

    def fresh(self, now: int) -> bool:
        return self.age(now) < self.lifetime


def hits(purge: dict, host: str, target: str, tags: tuple = ()) -> bool:
    if purge["kind"] == "tag":
        return purge["path"] in tags
    if purge["host"] not in ("*", "", host):
        return False
    if purge["kind"] == "all":
        return True
    if purge["kind"] == "prefix":
        return target.startswith(purge["path"])
    return purge["path"] in (target, target.partition("?")[0])


class CacheStore:
    """Invariants: `slot` is the slot up to which purges were carried out.

    No entry is older than a purge that hits it; the sum of sizes is at most `most`.
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
        """The entry as an origin has confirmed it, with the tags that it names now."""
        renewed = replace(
            entry, headers=headers, born_at=born_at, lifetime=lifetime, slot=slot, tags=tags
        )
        self.keep(renewed)
        return renewed

    def drop(self, entry: Entry) -> None:
        self._drop((entry.host, entry.target))

    def purged_since(self, slot: int, host: str, target: str, tags: tuple = ()) -> bool:
        if slot < self.floor:
            return True
        later = takewhile(lambda purge: purge["slot"] >= slot, reversed(self.purges))
        return any(hits(purge, host, target, tags) for purge in later)

    def purge(self, tables: Tables) -> None:
        """Invariant: after it, everything in the tables' purges is carried out.

        Missed ones drop all.
        """
        before, self.slot = self.slot, tables.slot
        self.purges, self.floor = tables.purges, tables.purge_floor
        if before < tables.purge_floor:
            self.held.clear()
            self.tagged.clear()
            self.size = 0
            return
        fresh = list(takewhile(lambda purge: purge["slot"] >= before, reversed(tables.purges)))
        if fresh and self.held:
            items = {(purge["host"], purge["path"]) for purge in fresh if purge["kind"] == "item"}
            tags = {purge["path"] for purge in fresh if purge["kind"] == "tag"}
            wide = [purge for purge in fresh if purge["kind"] not in ("item", "tag")]
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
