"""The proxy's shared state: the follower's, and what admission needs."""

from dataclasses import dataclass, field

from willowpost.common.clock import SECOND
from willowpost.node.node_state import NodeState
from willowpost.proxy.routing.snapshot import RoutingSnapshot

WARMED_UP_AFTER = 2 * SECOND
WARMED_UP_SLACK = SECOND // 2  # this proxy may have seen it join before the shield itself did
ZONE_GRACE = 4 * SECOND


@dataclass(frozen=True, slots=True)
class Grant:
    """A quota share of a service's rate that its owner granted to this proxy.

    Attributes:
        rate: Requests a second.
        until: When it expires, by this process's clock, in µs.
        fence: The fencing number of the owner that granted it.
    """

    rate: float  # requests a second
    until: int  # own clock
    fence: int


@dataclass(slots=True)
class ProxyState(NodeState):
    """The replicated state as this proxy knows it, and what admission control needs.

    `snapshot` is derived from `tables`; the same task replaces each of them as a whole. A grant
    counts only before its `until` and under the fence that the tables name.
    """

    snapshot: RoutingSnapshot = field(default_factory=RoutingSnapshot)
    grants: dict = field(default_factory=dict)
    reports: dict = field(default_factory=dict)  # origin -> (load it reported, when)
    demand: dict = field(default_factory=dict)  # service -> tries since the last look
    # since when the tables have this proxy as joined and not lost
    joined_at: int | None = None
    # the former incarnation was still joined in the first tables seen: its quota was kept
    kept_quota: bool = False
    # service -> since when this proxy is one of its senders; None: since the service is known here
    sender_since: dict = field(default_factory=dict)
    # (shield, incarnation) -> since when it is seen up
    shield_since: dict = field(default_factory=dict)
    emptied_at: int | None = None  # when this proxy's zone was first seen evacuated
    cold_since: dict = field(default_factory=dict)  # origin -> when first seen cold here
    # origin -> (when its last beat came, until when it is cold by it)
    cold: dict = field(default_factory=dict)

    def warmed_up(self, now: int) -> bool:
        """Whether every proxy with a lease by now counts this one in its base quotas."""
        return self.joined_at is not None and now - self.joined_at >= WARMED_UP_AFTER

    def warmed_up_since(self) -> int | None:
        """When this proxy is or was warmed up, in µs; None before it has joined."""
        return None if self.joined_at is None else self.joined_at + WARMED_UP_AFTER

    def warmed_up_shields(self, now: int) -> dict[str, str]:
        """Shields up for long enough to be warmed up, by id, with their addresses.

        All shields if there is none, as for a proxy that has just started.
        """
        warmed_up = {
            name: address
            for name, address in self.snapshot.shields.items()
            if now - self.shield_since.get(self.tables.incarnation(name), now)
            >= WARMED_UP_AFTER + WARMED_UP_SLACK
        }
        return warmed_up or dict(self.snapshot.shields)

    def proxies(self) -> int:
        """The number of registered proxies, lost ones included, since they may return."""
        return sum(daemon.kind == "proxy" for daemon in self.tables.daemons.values())

    def denies(self, now: int) -> bool:
        """Whether the tables may deny a request: a configuration is there, and it is current.

        What the tables lack may have been accepted since they were last confirmed, so only tables
        confirmed within `OUT_OF_TOUCH_AFTER` can tell that something does not exist or is too
        large. `leased` may be much longer than that.
        """
        known = self.snapshot.version > 0 or self.tables.configuration.tree is not None
        return known and self.is_in_touch(now)

    def emptied(self, now: int) -> bool:
        """Whether this proxy's zone has been evacuated for at least `ZONE_GRACE`."""
        return self.emptied_at is not None and now - self.emptied_at >= ZONE_GRACE
