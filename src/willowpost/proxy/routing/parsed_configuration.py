"""What follows from a configuration alone, whatever proxies and origins there are."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from willowpost.configuration.routes import Route, RouteTable, routes_of
from willowpost.proxy.routing.shields import goes_through_shields, only_through_shields
from willowpost.proxy.routing.snapshot import NO_ROUTES, empty_mapping
from willowpost.state.entries import ActiveConfiguration

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
        """Returns what follows from a configuration."""
        routes = routes_of(configuration.tree) if configuration.tree else ()
        return cls(
            configuration,
            RouteTable(routes),
            _shielded_routes(routes),
            _direct_services(routes),
            configuration.tree or {},
        )

    @property
    def services(self) -> Mapping[str, ServiceSettings]:
        """The services by name."""
        services: Mapping[str, ServiceSettings] = self.tree.get("services", {})
        return services


def _shielded_routes(routes: Iterable[Route]) -> frozenset[ShieldedRoutes]:
    return frozenset(
        ShieldedRoutes(service, route.homes)
        for route in routes
        if goes_through_shields(route)
        for service in route.services
    )


def _direct_services(routes: Iterable[Route]) -> frozenset[str]:
    return frozenset(
        service for route in routes if not only_through_shields(route) for service in route.services
    )
