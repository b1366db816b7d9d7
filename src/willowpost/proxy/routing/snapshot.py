"""What the replicated tables mean for requests: routes, services, origins in force, shields.

A snapshot is immutable and replaced as a whole.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from willowpost.configuration.routes import Route, RouteTable, routes_of
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.routing.shields import (
    ShieldChooser,
    goes_through_shields,
    only_through_shields,
)
from willowpost.state.entries import ActiveConfiguration, DaemonEntry, EvacuationScope, OriginEntry
from willowpost.state.lifecycle import DaemonState, OriginState
from willowpost.state.tables import Tables

# Stands for a rate without a limit: more requests a second than any fleet sends.
UNLIMITED_RATE = 1e7
DEFAULT_SLOW_START_SECONDS = 10.0
DEFAULT_HEALTH_CHECK_PATH = "/"

# A service as the configuration has it.
ServiceSettings = Mapping[str, Any]


def _empty_mapping() -> Mapping[str, Any]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class RoutableOrigin:
    """An origin in force.

    Attributes:
        name: Its id.
        address: Where it listens.
        zone: Its zone.
        rate: Requests a second that it can take.
        slow_start_rate: Requests a second that it can take when it has just started.
        is_warming_up: Whether it warms up by the tables.
        instance_check: How to check its identity on a fresh connection; None for an origin that
            did not opt in.
        token: Names its incarnation; None if it gave none.
        slots: How many requests it works on at once; 0 if it has not said.
    """

    name: str
    address: str
    zone: str
    rate: float
    slow_start_rate: float
    is_warming_up: bool
    instance_check: InstanceCheck | None = None
    token: str | None = None
    slots: int = 0


@dataclass(frozen=True, slots=True)
class RoutableService:
    """A service and its origins in force.

    Attributes:
        rate: Requests a second: the lesser of the operator's limit and what its origins can take
            together.
        slow_start_seconds: How long an origin that warms up takes to reach its full rate.
        senders: Proxies that may send to it: shields if it has routes through them, edges if it
            has others.
        base_quota_shares: Sender to its share of the base quota; they add up to 1.
        origins: The origins in force.
        reports_warm_up: Whether its origins report themselves how long they warm up.
        checks_incarnation: Whether its origins check the incarnation that a request names.
        requires_seal: Whether a success without a seal counts as a failure.
        max_connections: The most connections open to one origin over all proxies, or None.
        is_limited_by_origins: Whether `rate` is what its origins can take, less than the
            operator's limit; unused quota is then not spent in a burst.
    """

    rate: float = 0.0
    slow_start_seconds: float = DEFAULT_SLOW_START_SECONDS
    senders: tuple[str, ...] = ()
    base_quota_shares: Mapping[str, float] = field(default_factory=_empty_mapping)
    origins: tuple[RoutableOrigin, ...] = ()
    reports_warm_up: bool = False
    checks_incarnation: bool = False
    requires_seal: bool = False
    max_connections: int | None = None
    is_limited_by_origins: bool = False


NO_ROUTES = RouteTable(())


@dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """The routing data of one log slot; it has only origins in force in zones not evacuated.

    Attributes:
        slot: The log slot of the tables.
        version: The configuration's version.
        routes: The routes, by host and path.
        services: Name to service.
        origins: Names of all origins in force.
        shields: Id to HTTP address.
        shield_zones: Id to zone, of the same shields.
        limits: The configuration's limits, by name.
    """

    slot: int = 0
    version: int = 0
    routes: RouteTable = NO_ROUTES
    services: Mapping[str, RoutableService] = field(default_factory=_empty_mapping)
    origins: frozenset[str] = frozenset()
    shields: Mapping[str, str] = field(default_factory=_empty_mapping)
    shield_zones: Mapping[str, str] = field(default_factory=_empty_mapping)
    limits: Mapping[str, Any] = field(default_factory=_empty_mapping)


def base_quota_shares(senders: Iterable[str], zones: Mapping[str, str]) -> Mapping[str, float]:
    """Returns each sender's share of a service's base quota.

    Zones have equal shares, since callers come by zone, and a zone's senders divide its share
    equally.

    Args:
        senders: Ids of the proxies that may send to the service.
        zones: Id to zone.
    """
    senders = tuple(senders)
    counts = Counter(zones[name] for name in senders)
    return MappingProxyType({name: 1 / len(counts) / counts[zones[name]] for name in senders})


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
    tree: Mapping[str, Any] = field(default_factory=_empty_mapping)

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


@dataclass(frozen=True, slots=True)
class ProxyFleet:
    """The proxies in the tables that are not lost.

    Attributes:
        zones: Id to zone.
        edges: Ids of the edges.
        shields: Ids of the shields.
        serving_shields: Shields that are up, in zones whose daemons serve.
    """

    zones: Mapping[str, str]
    edges: tuple[str, ...]
    shields: tuple[str, ...]
    serving_shields: Mapping[str, DaemonEntry]

    @classmethod
    def of(cls, tables: Tables) -> "ProxyFleet":
        """Returns the proxies of these tables."""
        proxies = {
            name: daemon
            for name, daemon in tables.daemons.items()
            if daemon.kind == "proxy" and daemon.state is not DaemonState.LOST
        }
        return cls(
            {name: proxy.zone for name, proxy in proxies.items()},
            _with_role(proxies, "edge"),
            _with_role(proxies, "shield"),
            {
                name: proxy
                for name, proxy in proxies.items()
                if proxy.role == "shield"
                and proxy.state is DaemonState.UP
                and _do_daemons_serve(tables, proxy.zone)
            },
        )


def _with_role(proxies: Mapping[str, DaemonEntry], role: str) -> tuple[str, ...]:
    return tuple(name for name, proxy in proxies.items() if proxy.role == role)


def _do_daemons_serve(tables: Tables, zone: str) -> bool:
    """Whether the daemons of a zone serve; its origins alone may be evacuated."""
    evacuation = tables.zone_evacuations.get(zone)
    return (
        evacuation is None
        or not evacuation.is_evacuated
        or evacuation.scope == EvacuationScope.ORIGINS
    )


class SnapshotMaker:
    """Makes snapshots from the tables alone; routes are made anew only with a new configuration.

    Args:
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        self.parsed = ParsedConfiguration()
        self.shields = ShieldChooser("", regions or {})

    def make(self, tables: Tables) -> RoutingSnapshot:
        """Returns the snapshot of these tables."""
        if self.parsed.configuration is not tables.configuration:
            self.parsed = ParsedConfiguration.parse(tables.configuration)
        fleet = ProxyFleet.of(tables)
        services = self._services(tables, fleet)
        shields = fleet.serving_shields
        return RoutingSnapshot(
            tables.slot,
            tables.configuration.version,
            self.parsed.routes,
            MappingProxyType(services),
            frozenset(origin.name for service in services.values() for origin in service.origins),
            MappingProxyType({name: shield.http for name, shield in shields.items()}),
            MappingProxyType({name: shield.zone for name, shield in shields.items()}),
            MappingProxyType(self.parsed.tree.get("limits") or {}),
        )

    def _services(self, tables: Tables, fleet: ProxyFleet) -> dict[str, RoutableService]:
        origins = self._origins_in_force(tables)
        senders = self._senders(fleet)
        shares = {ids: base_quota_shares(ids, fleet.zones) for ids in set(senders.values())}
        return {
            name: _routable_service(
                settings, tuple(origins.get(name, ())), senders[name], shares[senders[name]]
            )
            for name, settings in self.parsed.services.items()
        }

    def _origins_in_force(self, tables: Tables) -> dict[str, list[RoutableOrigin]]:
        """Returns the origins in force in zones not evacuated, by service."""
        evacuated_zones = {
            zone for zone, evacuation in tables.zone_evacuations.items() if evacuation.is_evacuated
        }
        by_service: dict[str, list[RoutableOrigin]] = {}
        for name, origin in tables.origins.items():
            if origin.is_in_force and origin.zone not in evacuated_zones:
                settings = self.parsed.services.get(origin.service, {})
                by_service.setdefault(origin.service, []).append(
                    _routable_origin(name, origin, settings)
                )
        return by_service

    def _senders(self, fleet: ProxyFleet) -> dict[str, tuple[str, ...]]:
        """Returns the ids of the proxies that may send to each service."""
        shield_zones = {shield.zone for shield in fleet.serving_shields.values()}
        through_shields = {
            routes
            for routes in self.parsed.shielded
            if any(self.shields.is_allowed(routes.homes, zone) for zone in shield_zones)
        }
        from_shields = {routes.service for routes in through_shields}
        from_edges = self.parsed.direct | {
            routes.service for routes in self.parsed.shielded - through_shields
        }
        return {
            name: (fleet.edges if name in from_edges or name not in from_shields else ())
            + (fleet.shields if name in from_shields else ())
            for name in self.parsed.services
        }


def _routable_origin(name: str, origin: OriginEntry, settings: ServiceSettings) -> RoutableOrigin:
    return RoutableOrigin(
        name,
        origin.address,
        origin.zone,
        origin.rate or UNLIMITED_RATE,
        settings.get("cold_rate") or origin.slow_start_rate or UNLIMITED_RATE,
        origin.state is OriginState.WARMING_UP,
        _instance_check(origin, settings),
        origin.token,
        origin.slots,
    )


def _instance_check(origin: OriginEntry, settings: ServiceSettings) -> InstanceCheck | None:
    """Returns the check of an origin that gave a token but does not check requests itself."""
    if not origin.token or settings.get("named"):
        return None
    path = settings.get("health_check_path") or DEFAULT_HEALTH_CHECK_PATH
    return InstanceCheck(path, origin.token)


def _routable_service(
    settings: ServiceSettings,
    origins: tuple[RoutableOrigin, ...],
    senders: tuple[str, ...],
    shares: Mapping[str, float],
) -> RoutableService:
    limit = settings.get("rate") or UNLIMITED_RATE
    capacity = sum(origin.rate for origin in origins) if origins else limit
    return RoutableService(
        rate=min(limit, capacity),
        slow_start_seconds=settings.get("ramp_seconds", DEFAULT_SLOW_START_SECONDS),
        senders=senders,
        base_quota_shares=shares,
        origins=origins,
        reports_warm_up=settings.get("cold_rate") is not None,
        checks_incarnation=bool(settings.get("named")),
        requires_seal=bool(settings.get("sealed")),
        max_connections=settings.get("connections"),
        is_limited_by_origins=capacity < limit,
    )
