"""Makes routing snapshots from the replicated tables."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.routing.parsed_configuration import (
    ConfigurationParser,
    ParsedConfiguration,
    ServiceSettings,
)
from willowpost.proxy.routing.shields import ShieldChooser
from willowpost.proxy.routing.snapshot import (
    DEFAULT_SLOW_START_SECONDS,
    RoutableOrigin,
    RoutableService,
    RoutingSnapshot,
)
from willowpost.state.entries import (
    ActiveConfiguration,
    DaemonEntry,
    EvacuationScope,
    OriginEntry,
)
from willowpost.state.lifecycle import DaemonState, OriginState
from willowpost.state.tables import Tables

# Stands for a rate without a limit: more requests a second than any fleet sends.
UNLIMITED_RATE = 1e7
DEFAULT_HEALTH_CHECK_PATH = "/"


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

    The first configuration is parsed at once, every later one by `advance`: until it is, snapshots
    have the routes and services of the one before, and all else of their tables.

    Args:
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        self.parsed = ParsedConfiguration()
        self._parser: ConfigurationParser | None = None
        self.shields = ShieldChooser("", regions or {})

    def advance(self, configuration: ActiveConfiguration) -> bool:
        """Takes a step towards this configuration; whether another one was parsed by it.

        One whose parsing has begun is parsed to its end first, so that each comes into force
        however fast they follow each other.
        """
        if self.parsed.configuration is None or self.parsed.configuration is configuration:
            return False
        if self._parser is None:
            self._parser = ConfigurationParser(configuration)
        parsed = self._parser.advance()
        if parsed is None:
            return False
        self.parsed, self._parser = parsed, None
        return True

    def make(self, tables: Tables) -> RoutingSnapshot:
        """Returns the snapshot of these tables."""
        if self.parsed.configuration is None:
            self.parsed = ParsedConfiguration.parse(tables.configuration)
        fleet = ProxyFleet.of(tables)
        services = self._services(tables, fleet)
        shields = fleet.serving_shields
        return RoutingSnapshot(
            tables.slot,
            self.parsed.version,
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
