"""What the replicated tables mean for requests: routes, services, origins in force, shields.

A snapshot is immutable and replaced as a whole.
"""

from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType

from willowpost.configuration.routes import RouteTable, routes_of
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.routing.shields import (
    ShieldChooser,
    goes_through_shields,
    only_through_shields,
)
from willowpost.state.entries import EvacuationScope, ZoneEvacuation
from willowpost.state.lifecycle import DaemonState, OriginState
from willowpost.state.tables import Tables

NO_ALLOWANCE = 1e7  # requests a second: more than any fleet of ours sends


@dataclass(frozen=True, slots=True)
class OriginCard:
    """An origin in force.

    Attributes:
        name: Its id.
        address: Where it listens.
        zone: Its zone.
        rate: Requests a second that it bears.
        cold_rate: Requests a second that it bears when it has just started.
        cold: Whether the tables have it as cold.
        instance_check: How to check its identity on a fresh connection, or None.
        token: Names its incarnation; None if it gave none.
        slots: How many requests it works on at once; 0 if it has not said.
    """

    name: str
    address: str
    zone: str
    rate: float
    cold_rate: float
    cold: bool
    instance_check: InstanceCheck | None = None  # for an origin that opted in
    token: str | None = None
    slots: int = 0


@dataclass(frozen=True, slots=True)
class ServiceCard:
    """A service and its origins in force.

    Attributes:
        rate: Requests a second: the lesser of the operator's limit and what its origins bear
            together.
        ramp_seconds: How long a cold origin takes to bear its full rate.
        senders: Proxies that send to it: shields if it has routes through them, edges if it has
            others.
        parts: Sender to its part of the base quota; they add up to 1.
        origins: The origins in force.
        told: Whether its origins say themselves how long they are cold.
        named: Whether its origins check the incarnation that a request names.
        sealed: Whether a success without a seal counts as a failure.
        connections: The most connections open to one origin over all proxies, or None.
        borne: Whether `rate` is what its origins bear; unused quota is then not spent in a burst.
    """

    rate: float = 0.0
    ramp_seconds: float = 10.0
    # proxies that may press this service: shields if it has routes through them, edges if it has
    # others
    senders: tuple[str, ...] = ()
    # sender -> its part of the base; they add up to 1
    parts: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    origins: tuple[OriginCard, ...] = ()
    told: bool = False
    named: bool = False
    sealed: bool = False
    connections: int | None = None
    # its rate is what its origins bear, less than the operator's allowance: no more than that at
    # once
    borne: bool = False


@dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """The routing data of one log slot; it holds only origins in force in zones not evacuated.

    Attributes:
        slot: The log slot of the tables.
        version: The configuration's version.
        routes: The routes, by host and path.
        services: Name to ServiceCard.
        origins: Names of all origins in force.
        shields: Id to HTTP address.
        shield_zones: Id to zone, of the same shields.
        limits: The configuration's limits, by name.
    """

    slot: int = 0
    version: int = 0
    routes: RouteTable = RouteTable(())
    services: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    origins: frozenset = frozenset()
    # id -> address over HTTP
    shields: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    shield_zones: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    limits: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))


def base_quota_parts(senders, zones) -> MappingProxyType:
    """Each sender's part of a service's rate.

    Zones have equal parts, since callers come by zone, and a zone's senders share its part equally.
    """
    counts = Counter(zones[name] for name in senders)
    return MappingProxyType({name: 1 / len(counts) / counts[zones[name]] for name in senders})


def _daemons_serve(evacuation: ZoneEvacuation | None) -> bool:
    """Whether the daemons of a zone serve on; `evacuation` is None for one not evacuated."""
    return evacuation is None or evacuation.scope == EvacuationScope.ORIGINS


class SnapshotMaker:
    """Makes snapshots from the tables alone; routes are made anew only with a new configuration.

    Args:
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(self, regions=None):
        self.held = (None, RouteTable(()), set(), set(), {})
        self.shields = ShieldChooser("", regions or {})

    def make(self, tables: Tables) -> RoutingSnapshot:
        """The snapshot of these tables."""
        if self.held[0] is not tables.configuration:
            tree = tables.configuration.tree
            routes = routes_of(tree) if tree else ()
            self.held = (
                tables.configuration,
                RouteTable(routes),
                *self._pressed(routes),
                tree or {},
            )
        _, table, through, direct, tree = self.held
        services = tree.get("services", {})
        evacuated = {
            zone: order for zone, order in tables.zone_evacuations.items() if order.is_evacuated
        }
        proxies = {
            name: daemon
            for name, daemon in tables.daemons.items()
            if daemon.kind == "proxy" and daemon.state is not DaemonState.LOST
        }
        by_role = {
            role: tuple(name for name, proxy in proxies.items() if proxy.role == role)
            for role in ("edge", "shield")
        }
        shields = {
            name: proxies[name]
            for name in by_role["shield"]
            if proxies[name].state is DaemonState.UP
            and _daemons_serve(evacuated.get(proxies[name].zone))
        }
        shield_zones = {name: shield.zone for name, shield in shields.items()}
        in_force = {}
        for name, origin in tables.origins.items():
            if origin.is_in_force and origin.zone not in evacuated:
                in_force.setdefault(origin.service, []).append(
                    self._origin(name, origin, services.get(origin.service, {}))
                )
        zones = {name: proxy.zone for name, proxy in proxies.items()}
        by_shields = {
            (service, homes)
            for service, homes in through
            if any(self.shields.allowed(homes, zone) for zone in shield_zones.values())
        }
        shielded = {service for service, _ in by_shields}
        unshielded = direct | {service for service, _ in through - by_shields}
        senders = {
            name: (by_role["edge"] if name in unshielded or name not in shielded else ())
            + (by_role["shield"] if name in shielded else ())
            for name in services
        }
        parts = {held: base_quota_parts(held, zones) for held in set(senders.values())}
        cards = {
            name: self._service(
                service, tuple(in_force.get(name, ())), senders[name], parts[senders[name]]
            )
            for name, service in services.items()
        }
        return RoutingSnapshot(
            tables.slot,
            tables.configuration.version,
            table,
            MappingProxyType(cards),
            frozenset(origin.name for card in cards.values() for origin in card.origins),
            MappingProxyType({name: shield.http for name, shield in shields.items()}),
            MappingProxyType(shield_zones),
            MappingProxyType(tree.get("limits") or {}),
        )

    def _pressed(self, routes):
        """(service, homes) of reads that go through shields; services that edges send to."""
        through = {
            (service, route.homes)
            for route in routes
            if goes_through_shields(route)
            for service in route.services
        }
        direct = {
            service
            for route in routes
            if not only_through_shields(route)
            for service in route.services
        }
        return through, direct

    def _origin(self, name, origin, service):
        instance_check = (
            InstanceCheck(service.get("health_check_path") or "/", origin.token)
            if origin.token and not service.get("named")
            else None
        )
        return OriginCard(
            name,
            origin.address,
            origin.zone,
            origin.rate or NO_ALLOWANCE,
            service.get("cold_rate") or origin.slow_start_rate or NO_ALLOWANCE,
            origin.state is OriginState.WARMING_UP,
            instance_check,
            origin.token,
            origin.slots,
        )

    def _service(self, service, origins, senders, parts):
        rate = service.get("rate") or NO_ALLOWANCE
        bears = sum(origin.rate for origin in origins) if origins else rate
        return ServiceCard(
            min(rate, bears),
            service.get("ramp_seconds", 10.0),
            senders,
            parts,
            origins,
            service.get("cold_rate") is not None,
            bool(service.get("named")),
            bool(service.get("sealed")),
            service.get("connections"),
            bears < rate,
        )
