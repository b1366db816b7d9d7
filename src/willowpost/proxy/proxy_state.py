"""The proxy's shared state: the follower's, and what admission needs."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from willowpost.common.clock import SECOND
from willowpost.node.node_state import NodeState
from willowpost.proxy.routing.snapshot import RoutingSnapshot

WARM_UP_US = 2 * SECOND
# This proxy may have seen a shield join before the shield itself did.
SHIELD_WARM_UP_MARGIN_US = SECOND // 2
EVACUATION_GRACE_US = 4 * SECOND


@dataclass(frozen=True, slots=True)
class Grant:
    """A quota share of a service's rate that its owner granted to this proxy.

    Attributes:
        rate: Requests a second.
        expires_at: By this process's clock, in µs.
        fencing_token: Of the owner that granted it.
    """

    rate: float
    expires_at: int
    fencing_token: int


@dataclass(slots=True)
class ProxyState(NodeState):
    """The replicated state as this proxy knows it, and what admission control needs.

    `snapshot` is derived from `tables`; the same task replaces each of them as a whole. A grant
    counts only before it expires and under the fencing token that the tables name. Times are µs of
    this process's clock.

    Attributes:
        snapshot: What the tables mean for requests.
        grants: Service to grant.
        reports: Origin to (the load that it reported, when).
        demand: Service to attempts since the last request for a grant.
        joined_at: Since when the tables have this proxy as joined and not lost; None: they do not.
        has_retained_quota: Whether the previous incarnation was still joined in the first tables
            seen, so that its quota is still reserved.
        sender_since: Service to since when this proxy is one of its senders; None: since the
            service is known here.
        shield_since: (shield, incarnation) to since when it is seen up.
        evacuated_at: When this proxy's zone was first seen evacuated; None: it is not.
        warming_up_since: Origin to when it was first seen warming up here.
        reported_warm_up: Origin to (when its last heartbeat came, until when it warms up by it).
    """

    snapshot: RoutingSnapshot = field(default_factory=RoutingSnapshot)
    grants: Mapping[str, Grant] = field(default_factory=dict)
    reports: Mapping[str, tuple[float, int]] = field(default_factory=dict)
    demand: dict[str, int] = field(default_factory=dict)
    joined_at: int | None = None
    has_retained_quota: bool = False
    sender_since: Mapping[str, int | None] = field(default_factory=dict)
    shield_since: Mapping[tuple[str, int], int] = field(default_factory=dict)
    evacuated_at: int | None = None
    warming_up_since: Mapping[str, int] = field(default_factory=dict)
    reported_warm_up: Mapping[str, tuple[int, int]] = field(default_factory=dict)

    def is_warmed_up(self, now: int) -> bool:
        """Whether every proxy with a lease by now counts this one in its base quotas."""
        return self.joined_at is not None and now - self.joined_at >= WARM_UP_US

    def warmed_up_since(self) -> int | None:
        """Returns when this proxy is or was warmed up, in µs; None before it has joined."""
        return None if self.joined_at is None else self.joined_at + WARM_UP_US

    def warmed_up_shields(self, now: int) -> dict[str, str]:
        """Returns shields up for long enough to be warmed up, by id, with their addresses.

        All shields if there is none, as for a proxy that has just started.
        """
        warmed_up = {
            name: address
            for name, address in self.snapshot.shields.items()
            if now - self.shield_since.get(self.tables.incarnation(name), now)
            >= WARM_UP_US + SHIELD_WARM_UP_MARGIN_US
        }
        return warmed_up or dict(self.snapshot.shields)

    def proxy_count(self) -> int:
        """Returns the number of registered proxies, lost ones included, since they may return."""
        return sum(daemon.kind == "proxy" for daemon in self.tables.daemons.values())

    def may_deny(self, now: int) -> bool:
        """Whether the tables may deny a request: a configuration is there, and it is current.

        What the tables lack may have been accepted since they were last confirmed, so only tables
        confirmed within `MAX_IN_TOUCH_AGE_US` can tell that something does not exist or is too
        large. `max_stale_serving` may be much longer than that. Nor can a snapshot whose
        configuration is older than that of the tables, which is being parsed.
        """
        newest = self.tables.configuration
        is_configured = self.snapshot.version > 0 or newest.tree is not None
        is_parsed = self.snapshot.version >= newest.version
        return is_configured and is_parsed and self.is_in_touch(now)

    def is_evacuated(self, now: int) -> bool:
        """Whether this proxy's zone has been evacuated for at least `EVACUATION_GRACE_US`."""
        return self.evacuated_at is not None and now - self.evacuated_at >= EVACUATION_GRACE_US
