"""The routes a configuration amounts to, and which of them a request takes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from willowpost.common.gc_pause import paused_gc

DEPTH_MOST = 8
ROUTES_MOST = 20_000


@dataclass(frozen=True, slots=True)
class Route:
    """One kind of request, with its settings worked out.

    Invariants: `service` is a service of the same configuration; with a `split` so is each of its
    parts, `service` is the first of them, and some weight is above 0.
    """

    name: str
    host: str
    path: str
    service: str
    methods: tuple[str, ...] = ("GET", "HEAD")
    cache: bool = True
    shield: bool = True
    keep_seconds: float = 0.0
    deadline_ms: int = 3000
    body_max: int = 1024 * 1024
    whole_max: int = 8 * 1024 * 1024
    zones: tuple[str, ...] | None = None
    tries: int = 3
    kind: str | None = None  # once | repeatable | kept; None: by method
    split: tuple[tuple[str, float], ...] = ()  # (service, weight)
    aim_ms: int | None = None
    priority: int = 0  # 0 is the highest
    homes: tuple[str, ...] = ()  # regions; none: everywhere

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that its requests may go to."""
        return tuple(service for service, weight in self.split if weight) or (self.service,)

    def keeps_in(self, region: str | None) -> bool:
        """Whether a copy may be kept there: only in a home region, if it has any."""
        return not self.homes or region in self.homes


LISTS = frozenset({"methods", "zones", "homes"})
# place, depth, host, path, settings, branch
WalkedBranch = tuple[str, int, str, str | None, dict[str, Any], dict[str, Any]]


def inherited(above: dict[str, Any], settings: dict[str, Any]) -> dict[str, Any]:
    """Invariant: a service said below a split takes its place, and the other way round."""
    said = {name: value for name, value in settings.items() if value is not None}
    for name in LISTS & said.keys():
        said[name] = tuple(said[name])
    if "split" in said:
        said["split"] = tuple((part["service"], part["weight"]) for part in said["split"])
        said["service"] = said["split"][0][0]
    elif "service" in said and above.get("split"):
        said["split"] = ()
    return {**above, **said} if said else above


def walk(tree: dict[str, Any]) -> Iterator[WalkedBranch]:
    """(place, depth, host, path, settings, branch) of every branch of a checked tree: plain data.

    Since thousands of models would hold a proxy's loop for as long as a lease lasts.
    """

    def down(
        branches: dict[str, Any],
        place: str,
        depth: int,
        host: str,
        path: str | None,
        settings: dict[str, Any],
    ) -> Iterator[WalkedBranch]:
        for name, branch in branches.items():
            own, below = branch.get("settings"), branch.get("branches")
            here = (
                f"{place}/{name}",
                depth,
                branch.get("host") or host,
                branch.get("path") or path,
                inherited(settings, own) if own else settings,
            )
            yield (*here, branch)
            if below:
                yield from down(below, f"{here[0]}/branches", depth + 1, here[2], here[3], here[4])

    yield from down(
        tree.get("branches") or {},
        "branches",
        1,
        "*",
        None,
        inherited({}, tree.get("settings") or {}),
    )


def routes_of(tree: dict[str, Any]) -> tuple[Route, ...]:
    """Every route of a checked configuration, with the settings that it inherits."""
    with paused_gc():
        return tuple(
            Route(place.replace("branches/", ""), host, path, **settings)
            for place, _, host, path, settings, _ in walk(tree)
            if path is not None and settings.get("service")
        )


def trunk_of(path: str) -> str:
    """What a route is kept under.

    "/a" takes whole segments: /a, /a/ and /a/b. "/a/" takes what begins with just that: /a/ and
    /a/b. "/" takes everything.
    """
    return "" if path == "/" else path


class RouteTable:
    """Invariant: find() gives the route with the longest path that takes this one.

    And of two with the same path the one with the exact host before "*"; immutable once made.
    """

    def __init__(self, routes: Iterable[Route]):
        self.by_place = {(route.host, trunk_of(route.path)): route for route in routes}
        self.longest = max((len(route.path) for route in self.by_place.values()), default=0)

    def find(self, host: str, path: str) -> Route | None:
        """The route of the longest path that begins `path`, or None."""
        # one more than any route has: a segment cut short is none
        trunk = path[: self.longest + 1]
        while True:
            route = self.by_place.get((host, trunk)) or self.by_place.get(("*", trunk))
            if route is not None or not trunk:
                return route
            trunk = trunk[:-1] if trunk[-1] == "/" else trunk[: trunk.rfind("/") + 1]
