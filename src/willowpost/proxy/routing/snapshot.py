"""What the tables mean for requests: routes, services, origins in force, shields.

Immutable, swapped whole.
"""

from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType

from willowpost.configuration.routes import RouteTable, routes_of
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.state.kinds import IN_FORCE
from willowpost.state.tables import Tables

FORCE = {state.value for state in IN_FORCE}
NO_ALLOWANCE = 1e7  # requests a second: more than any fleet of ours sends


@dataclass(frozen=True, slots=True)
class OriginCard:
    """`token`: the life; `slots`: what it works on at once, 0 if it has not said."""

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
    """Invariant.

    `rate` is the lesser of the operator's allowance and what the origins in force bear together.

    `told`: its origins say themselves how long they are cold; `named`: they honour the life a
    request names; `sealed`: no success without a seal; `connections`: most open ones to one origin,
    over all proxies.
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
    """Invariant: holds only origins in force, of zones that are not emptied."""

    slot: int = 0
    version: int = 0
    routes: RouteTable = RouteTable(())
    services: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    origins: frozenset = frozenset()
    # id -> address over HTTP
    shields: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    limits: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))


def base_quota_parts(senders, zones) -> MappingProxyType:
    """Each zone's senders have as much together as any other zone's: callers come by zone.

    And go to who is left in theirs.
    """
    counts = Counter(zones[name] for name in senders)
    return MappingProxyType({name: 1 / len(counts) / counts[zones[name]] for name in senders})


class SnapshotMaker:
    """Invariant: make() depends on the tables alone.

    The routes are made anew only with a new configuration.
    """

    def __init__(self):
        self.held = (None, RouteTable(()), (), {}, {})

    def make(self, tables: Tables) -> RoutingSnapshot:
        if self.held[0] is not tables.configuration:
            tree = tables.configuration["tree"]
            routes = routes_of(tree) if tree else ()
            self.held = (
                tables.configuration,
                RouteTable(routes),
                *self._pressed(routes),
                tree or {},
            )
        _, table, through, direct, tree = self.held
        services = tree.get("services", {})
        emptied = {zone for zone, card in tables.zones.items() if card["empty"]}
        proxies = {
            name: card
            for name, card in tables.daemons.items()
            if card["kind"] == "proxy" and card["state"] != "lost"
        }
        by_role = {
            role: tuple(name for name, card in proxies.items() if card["role"] == role)
            for role in ("edge", "shield")
        }
        shields = {
            name: proxies[name]["http"]
            for name in by_role["shield"]
            if proxies[name]["state"] == "up" and proxies[name]["zone"] not in emptied
        }
        in_force = {}
        for name, card in tables.origins.items():
            if card["state"] in FORCE and card["zone"] not in emptied:
                in_force.setdefault(card["service"], []).append(
                    self._origin(name, card, services.get(card["service"], {}))
                )
        zones = {name: card["zone"] for name, card in proxies.items()}
        senders = {
            name: (by_role["edge"] if name in direct or not shields else ())
            + (by_role["shield"] if name in through else ())
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
            tables.configuration["version"],
            table,
            MappingProxyType(cards),
            frozenset(origin.name for card in cards.values() for origin in card.origins),
            MappingProxyType(shields),
            MappingProxyType(tree.get("limits") or {}),
        )

    def _pressed(self, routes):
        """Services that are asked through shields, and those that edges ask themselves."""
        through = {
            service
            for route in routes
            if route.shield and route.cache
            for service in route.services
        }
        direct = {
            service
            for route in routes
            if not (route.shield and route.cache and set(route.methods) <= {"GET", "HEAD"})
            for service in route.services
        }
        return through, direct

    def _origin(self, name, card, service):
        instance_check = (
            InstanceCheck(service.get("health_check_path") or "/", card["token"])
            if card.get("token") and not service.get("named")
            else None
        )
        return OriginCard(
            name,
            card["address"],
            card["zone"],
            card.get("rate") or NO_ALLOWANCE,
            service.get("cold_rate") or card.get("cold_rate") or NO_ALLOWANCE,
            card["state"] == "cold",
            instance_check,
            card.get("token"),
            card.get("slots") or 0,
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
