"""The proxy's blackboard: the follower's, and what admission needs."""
from dataclasses import dataclass, field

from willowpost.common.clock import SECOND
from willowpost.node.board import FollowBoard
from willowpost.proxy.way.picture import WayPicture

RIPE_AFTER = 2 * SECOND
ZONE_GRACE = 4 * SECOND


@dataclass(frozen=True, slots=True)
class Grant:
    rate: float      # requests a second
    until: int       # own clock
    fence: int


@dataclass(slots=True)
class ProxyBoard(FollowBoard):
    """Invariants:

    - `picture` is what `tables` amount to for requests; both are swapped whole, by the same task.
    - a grant counts only before its `until`, under the fence that the tables name.
    """

    picture: WayPicture = field(default_factory=WayPicture)
    grants: dict = field(default_factory=dict)
    reports: dict = field(default_factory=dict)     # origin -> (occupancy it reported, when)
    demand: dict = field(default_factory=dict)      # group -> tries since the last look
    joinedAt: int | None = None                     # when our own card was first seen in the tables
    emptiedAt: int | None = None                    # when our zone was first seen emptied
    coldSince: dict = field(default_factory=dict)   # origin -> when first seen cold here

    def ripe(self, now: int) -> bool:
        """By now every proxy with a lease counts us when it works out its base share."""
        return self.joinedAt is not None and now - self.joinedAt >= RIPE_AFTER

    def proxies(self) -> int:
        """All that have joined, also those held lost: they may be on their way back."""
        return sum(card["kind"] == "proxy" for card in self.tables.daemons.values())

    def emptied(self, now: int) -> bool:
        return self.emptiedAt is not None and now - self.emptiedAt >= ZONE_GRACE
