"""What a purge removes: matching of stored responses, and the index of keys by tag."""

from collections.abc import Iterable

from willowpost.proxy.cache.entry import CacheEntry, CacheKey
from willowpost.state.entries import Purge, PurgeKind

ANY_HOST = ("*", "")


def matches(purge: Purge, host: str, target: str, tags: tuple[str, ...] = ()) -> bool:
    """Whether a purge removes what is stored for that host and target with these tags."""
    if purge.kind == PurgeKind.TAG:
        return purge.path in tags
    if purge.host not in (*ANY_HOST, host):
        return False
    if purge.kind == PurgeKind.ALL:
        return True
    if purge.kind == PurgeKind.PREFIX:
        return target.startswith(purge.path)
    return purge.path in (target, target.partition("?")[0])


class PurgeMatcher:
    """Matches keys with many purges at once; purges of single items are found by their path.

    Purges by tag are not matched here, but found by the TagIndex.

    Args:
        purges: The purges, of any kind.
    """

    def __init__(self, purges: Iterable[Purge]) -> None:
        self.tags: set[str] = set()
        self._items: set[tuple[str, str]] = set()  # (host, path)
        self._scopes: list[Purge] = []  # of a prefix, or of everything
        for purge in purges:
            if purge.kind == PurgeKind.TAG:
                self.tags.add(purge.path)
            elif purge.kind == PurgeKind.ITEM:
                self._items.add((purge.host, purge.path))
            else:
                self._scopes.append(purge)

    @property
    def has_key_purges(self) -> bool:
        """Whether any purge goes by host and target."""
        return bool(self._items or self._scopes)

    def matches_key(self, key: CacheKey) -> bool:
        """Whether a purge that goes by host and target removes what is stored under this key.

        It removes the responses of all services.
        """
        host, target = key.host, key.target
        paths = (target, target.partition("?")[0])
        is_item = any((name, path) in self._items for name in (host, *ANY_HOST) for path in paths)
        return is_item or any(matches(purge, host, target) for purge in self._scopes)


class TagIndex:
    """The keys of stored entries by tag.

    Attributes:
        keys_by_tag: For each tag that an entry carries, the keys of such entries.
    """

    def __init__(self) -> None:
        self.keys_by_tag: dict[str, set[CacheKey]] = {}

    def update(
        self, key: CacheKey, before: Iterable[CacheEntry], after: Iterable[CacheEntry]
    ) -> None:
        """Takes over that the entries of a key have been replaced."""
        tags_before = {tag for entry in before for tag in entry.tags}
        tags_after = {tag for entry in after for tag in entry.tags}
        for tag in tags_before - tags_after:
            keys = self.keys_by_tag.get(tag, set())
            keys.discard(key)
            if not keys:
                self.keys_by_tag.pop(tag, None)
        for tag in tags_after - tags_before:
            self.keys_by_tag.setdefault(tag, set()).add(key)

    def keys(self, tags: Iterable[str]) -> set[CacheKey]:
        """Returns the keys of entries that carry any of these tags."""
        return {key for tag in tags for key in self.keys_by_tag.get(tag, ())}

    def clear(self) -> None:
        """Forgets all keys."""
        self.keys_by_tag.clear()
