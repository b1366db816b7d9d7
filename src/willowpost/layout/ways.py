"""The ways a layout amounts to, and which of them a request takes."""
from dataclasses import dataclass, fields
from typing import Iterator

DEPTH_MOST = 8
WAYS_MOST = 20_000


@dataclass(frozen=True, slots=True)
class Way:
    """One kind of request, with its props worked out. Invariant: `group` is a group of the same layout."""

    name: str
    host: str
    path: str
    group: str
    methods: tuple[str, ...] = ("GET", "HEAD")
    cache: bool = True
    shield: bool = True
    keepSeconds: float = 0.0
    deadlineMs: int = 3000
    bodyMost: int = 1024 * 1024
    wholeMost: int = 8 * 1024 * 1024
    zones: tuple[str, ...] | None = None
    tries: int = 3


OWN = {field.name for field in fields(Way)} - {"name", "host", "path"}


def inherited(above: dict, props: dict) -> dict:
    said = {name: tuple(value) if isinstance(value, list) else value for name, value in props.items() if value is not None}
    return {**above, **said} if said else above


def walk(tree: dict) -> Iterator[tuple[str, int, str, str | None, dict, dict]]:
    """(place, depth, host, path, props, branch) of every branch of a checked tree: plain data, since thousands of
    models would hold a proxy's loop for as long as a lease lasts."""
    def down(branches, place, depth, host, path, props):
        for name, branch in branches.items():
            here = (f"{place}/{name}", depth, branch.get("host") or host, branch.get("path") or path, inherited(props, branch.get("props") or {}))
            yield (*here, branch)
            yield from down(branch.get("branches") or {}, f"{here[0]}/branches", depth + 1, here[2], here[3], here[4])
    yield from down(tree.get("branches") or {}, "branches", 1, "*", None, inherited({}, tree.get("props") or {}))


def ways_of(tree: dict) -> tuple[Way, ...]:
    return tuple(Way(place.replace("branches/", ""), host, path, **props)
                 for place, _, host, path, props, _ in walk(tree) if path is not None and props.get("group"))


class WayTable:
    """Invariant: find() gives the way with the exact host before "*", and the longest path that is a
    whole-segment prefix; immutable once made."""

    def __init__(self, ways):
        self.byPlace = {(way.host, way.path.rstrip("/")): way for way in ways}

    def find(self, host: str, path: str) -> Way | None:
        trunk = path.rstrip("/")
        while True:
            way = self.byPlace.get((host, trunk)) or self.byPlace.get(("*", trunk))
            if way is not None or not trunk:
                return way
            trunk = trunk.rpartition("/")[0]
