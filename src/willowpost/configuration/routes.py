"""The routes of a configuration, and which of them serves a request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from willowpost.common.clock import SECOND
from willowpost.common.gc_pause import paused_gc

MAX_DEPTH = 8
MAX_ROUTES = 20_000
DEFAULT_TRIES = 3
ANY_HOST = "*"
# Settings whose value is a list in JSON and a tuple in a route.
LIST_SETTINGS = frozenset({"methods", "zones", "homes"})

SettingValues = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Route:
    """One kind of request, with all settings that apply to it; the names are those of the settings.

    Invariants: `service` is a service of the same configuration; with a `split` so is each service
    in it, `service` is the first of them, and some weight is above 0.

    Attributes:
        name: the names of its branches, joined by "/".
        host: the host of its requests; "*": any.
        path: what their paths start with, see `lookup_prefix`.
        service: where they go, unless there is a split.
        methods: the methods that it takes.
        cache: whether responses may be cached.
        shield: whether requests go through a shield.
        keep_seconds: how long a response may be cached at most, and by default.
        deadline_ms: how long a request may take.
        body_max: bytes that a request's body may have.
        whole_max: bytes up to which a response is buffered; a larger one streams.
        zones: of the origins that it may use; None: all.
        tries: how many attempts a request may have.
        kind: "once", "repeatable" or "kept"; None: by the method.
        split: (service, weight) of the services that share its requests; empty: no split.
        aim_ms: the latency target; None: none.
        priority: 0 is the highest.
        homes: regions in which its responses may be cached; empty: everywhere.
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
    tries: int = DEFAULT_TRIES
    kind: str | None = None
    split: tuple[tuple[str, float], ...] = ()
    aim_ms: int | None = None
    priority: int = 0
    homes: tuple[str, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that its requests may go to."""
        return tuple(service for service, weight in self.split if weight) or (self.service,)

    @property
    def keep_us(self) -> int:
        """How long a response may be cached at most, and by default, in µs."""
        return int(self.keep_seconds * SECOND)

    def may_cache_in(self, region: str | None) -> bool:
        """Whether a response may be cached there: only in a home region, if it has any."""
        return not self.homes or region in self.homes


@dataclass(frozen=True, slots=True)
class WalkedBranch:
    """A branch of a configuration, with what it inherits.

    Attributes:
        location: path of the branch in the tree, for validation issues.
        depth: 1 for a branch at the top.
        host: its own or the inherited one; "*": any.
        path: its own or the inherited one; None: none.
        settings: its own and the inherited ones.
        branch: the branch itself, as plain data.
    """

    location: str
    depth: int
    host: str
    path: str | None
    settings: SettingValues
    branch: dict[str, Any]


def inherit_settings(inherited: SettingValues, own: SettingValues) -> SettingValues:
    """Return a branch's settings: its own, and the inherited ones that it does not set.

    A service set below a split replaces it, and vice versa.
    """
    values = {name: value for name, value in own.items() if value is not None}
    for name in LIST_SETTINGS & values.keys():
        values[name] = tuple(values[name])
    if "split" in values:
        values["split"] = tuple((share["service"], share["weight"]) for share in values["split"])
        values["service"] = values["split"][0][0]
    elif "service" in values and inherited.get("split"):
        values["split"] = ()
    return {**inherited, **values} if values else inherited


def walk_branches(tree: dict[str, Any]) -> Iterator[WalkedBranch]:
    """Yield every branch of a checked tree, each before the branches below it.

    The tree is plain data: thousands of models would block a proxy's event loop for as long as a
    lease lasts.
    """
    top = WalkedBranch(
        location="",
        depth=0,
        host=ANY_HOST,
        path=None,
        settings=inherit_settings({}, tree.get("settings") or {}),
        branch=tree,
    )
    yield from _walk_below(top, "branches")


def _walk_below(parent: WalkedBranch, location: str) -> Iterator[WalkedBranch]:
    for name, branch in (parent.branch.get("branches") or {}).items():
        own_settings = branch.get("settings")
        walked = WalkedBranch(
            f"{location}/{name}",
            parent.depth + 1,
            branch.get("host") or parent.host,
            branch.get("path") or parent.path,
            inherit_settings(parent.settings, own_settings) if own_settings else parent.settings,
            branch,
        )
        yield walked
        if branch.get("branches"):
            yield from _walk_below(walked, f"{walked.location}/branches")


def routes_of(tree: dict[str, Any]) -> tuple[Route, ...]:
    """Return every route of a checked configuration, with the settings that it inherits."""
    with paused_gc():
        return tuple(iterate_routes(tree))


def iterate_routes(tree: dict[str, Any]) -> Iterator[Route]:
    """Yield every route of a checked configuration, with the settings that it inherits."""
    for walked in walk_branches(tree):
        if walked.path is not None and walked.settings.get("service"):
            yield Route(
                walked.location.replace("branches/", ""),
                walked.host,
                walked.path,
                **walked.settings,
            )


def lookup_prefix(path: str) -> str:
    """Return the prefix under which a route's path is looked up.

    "/a" takes whole segments: /a, /a/ and /a/b. "/a/" takes only what starts with it: /a/ and /a/b.
    "/" takes everything.
    """
    return "" if path == "/" else path


class RouteTable:
    """Finds routes by host and path.

    Args:
        routes: of one configuration.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes: dict[tuple[str, str], Route] = {}
        self._longest_path = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route, while the table is being made and nobody else has it.

        Of two routes with the same host and path the later one stays.
        """
        self._routes[route.host, lookup_prefix(route.path)] = route
        self._longest_path = max(self._longest_path, len(route.path))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path that takes this one, or None.

        Of two routes with the same path, the one with the exact host precedes the one with "*".
        """
        # One character more than any route has: a segment that is cut short matches none.
        prefix = path[: self._longest_path + 1]
        while True:
            route = self._routes.get((host, prefix)) or self._routes.get((ANY_HOST, prefix))
            if route is not None or not prefix:
                return route
            prefix = _parent_prefix(prefix)


def _parent_prefix(prefix: str) -> str:
    """Return the next shorter prefix: "/a/b" -> "/a/" -> "/a" -> "/" -> ""."""
    return prefix[:-1] if prefix[-1] == "/" else prefix[: prefix.rfind("/") + 1]
