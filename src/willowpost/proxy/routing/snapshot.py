"""What the replicated tables mean for requests: routes, services, origins in force, shields.

A snapshot is immutable and replaced as a whole.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from willowpost.configuration.routes import RouteTable
from willowpost.proxy.origin.instance_check import InstanceCheck

DEFAULT_SLOW_START_SECONDS = 10.0


def empty_mapping() -> Mapping[str, Any]:
    """Returns an immutable mapping without entries."""
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
        slots: How many requests it works on at once; 0 if it has not reported it.
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
    base_quota_shares: Mapping[str, float] = field(default_factory=empty_mapping)
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
    services: Mapping[str, RoutableService] = field(default_factory=empty_mapping)
    origins: frozenset[str] = frozenset()
    shields: Mapping[str, str] = field(default_factory=empty_mapping)
    shield_zones: Mapping[str, str] = field(default_factory=empty_mapping)
    limits: Mapping[str, Any] = field(default_factory=empty_mapping)
