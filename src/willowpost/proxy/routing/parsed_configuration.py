"""What follows from a configuration alone, whatever proxies and origins there are."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

from willowpost.common.gc_pause import paused_gc
from willowpost.configuration.routes import Route, RouteTable, iterate_routes
from willowpost.proxy.routing.shields import goes_through_shields, only_through_shields
from willowpost.proxy.routing.snapshot import NO_ROUTES, empty_mapping
from willowpost.state.entries import ActiveConfiguration

# A few ms of work on a small machine.
MAX_ROUTES_OF_STEP = 512

# A service as the configuration has it.
ServiceSettings = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ShieldedRoutes:
    """The routes of a service, with the same home regions, whose reads go through shields."""

    service: str
    homes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """What follows from a configuration alone.

    Attributes:
        configuration: The configuration.
        routes: Its routes, by host and path.
        shielded: Its routes through shields.
        direct: Services that edges send to, whatever shields there are.
        tree: Its tree; empty before the first configuration.
    """

    configuration: ActiveConfiguration | None = None
    routes: RouteTable = NO_ROUTES
    shielded: frozenset[ShieldedRoutes] = frozenset()
    direct: frozenset[str] = frozenset()
    tree: Mapping[str, Any] = field(default_factory=empty_mapping)

    @classmethod
    def parse(cls, configuration: ActiveConfiguration) -> "ParsedConfiguration":
        """Returns what follows from a configuration, however long that takes."""
        parser = ConfigurationParser(configuration)
        while (parsed := parser.advance()) is None:
            pass
        return parsed

    @property
    def version(self) -> int:
        """The configuration's version; 0 before the first one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def services(self) -> Mapping[str, ServiceSettings]:
        """The services by name."""
        services: Mapping[str, ServiceSettings] = self.tree.get("services", {})
        return services


class ConfigurationParser:
    """Parses a configuration in steps, between which a proxy serves its requests.

    Args:
        configuration: What to parse.
    """

    def __init__(self, configuration: ActiveConfiguration) -> None:
        self.configuration = configuration
        self._remaining = iterate_routes(configuration.tree or {})
        self._table = RouteTable()
        # (its services, its home regions) of each kind of route, which are few
        self._shielded: set[tuple[tuple[str, ...], tuple[str, ...]]] = set()
        self._direct: set[tuple[str, ...]] = set()

    def advance(self, max_routes: int = MAX_ROUTES_OF_STEP) -> ParsedConfiguration | None:
        """Takes the next routes; returns what follows from all once there are no more."""
        with paused_gc():
            routes = tuple(islice(self._remaining, max_routes))
            for route in routes:
                self._take(route)
        return None if len(routes) == max_routes else self._parsed()

    def _take(self, route: Route) -> None:
        self._table.add(route)
        if goes_through_shields(route):
            self._shielded.add((route.services, route.homes))
        if not only_through_shields(route):
            self._direct.add(route.services)

    def _parsed(self) -> ParsedConfiguration:
        return ParsedConfiguration(
            self.configuration,
            self._table,
            frozenset(
                ShieldedRoutes(service, homes)
                for services, homes in self._shielded
                for service in services
            ),
            frozenset(service for services in self._direct for service in services),
            self.configuration.tree or {},
        )
