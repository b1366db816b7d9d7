"""Updates the routing snapshot and what depends on it when the tables have changed."""

from collections.abc import Mapping

from willowpost.common.plan import Plan
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.proxy_state import WARM_UP_US, ProxyState
from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.state.entries import EvacuationScope
from willowpost.state.lifecycle import DaemonState


class SnapshotUpdater:
    """Replaces the snapshot only after the cache has carried out the purges in the same tables.

    Args:
        node_state: The proxy's shared state.
        cache: The stored responses.
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(
        self,
        node_state: ProxyState,
        cache: CacheStore,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.node_state = node_state
        self.cache = cache
        self.maker = SnapshotMaker(regions)

    def step(self, event: object, now: int) -> Plan:
        """Takes over changed tables after any event; `now` is in µs."""
        node_state, plan = self.node_state, Plan()
        tables, previous = node_state.tables, node_state.snapshot
        has_parsed = self.maker.advance(tables.configuration)
        if tables.slot == previous.slot and not has_parsed:
            return plan
        self.cache.purge(tables)
        node_state.snapshot = self.maker.make(tables)
        self._update_senders(previous, now)
        if node_state.snapshot.version != previous.version:
            plan.log(
                "configuration", "in force", version=node_state.snapshot.version, slot=tables.slot
            )
        self._update_evacuation(now)
        self._update_membership(previous, now)
        self._update_shields(now)
        self._update_warming_up(now)
        return plan

    def _update_senders(self, previous: RoutingSnapshot, now: int) -> None:
        """Records since when this proxy has been a sender of each service.

        A service that is new here, or whose first snapshot this is, had no other senders whose use
        of its rate this one would not know.
        """
        node_state, own_id = self.node_state, self.node_state.descriptor.id
        known = node_state.sender_since
        node_state.sender_since = {
            name: known.get(name, now if name in previous.services else None)
            for name, service in node_state.snapshot.services.items()
            if own_id in service.senders
        }

    def _update_evacuation(self, now: int) -> None:
        """Records since when this proxy's zone is evacuated, its daemons included."""
        node_state = self.node_state
        evacuation = node_state.tables.zone_evacuations.get(node_state.descriptor.zone)
        is_evacuated = (
            evacuation is not None
            and evacuation.is_evacuated
            and evacuation.scope != EvacuationScope.ORIGINS
        )
        node_state.evacuated_at = _since(is_evacuated, node_state.evacuated_at, now)

    def _update_membership(self, previous: RoutingSnapshot, now: int) -> None:
        """Records since when other proxies count this one in their base quotas."""
        node_state, descriptor = self.node_state, self.node_state.descriptor
        entry = node_state.tables.daemons.get(descriptor.id)
        is_joined = entry is not None and entry.state is not DaemonState.LOST
        is_first_snapshot = not previous.slot
        node_state.has_retained_quota = is_joined and (
            is_first_snapshot or node_state.has_retained_quota
        )
        is_counted = (
            entry is not None
            and is_joined
            and (node_state.has_retained_quota or entry.incarnation == descriptor.incarnation)
        )
        counted_since = now - WARM_UP_US if node_state.has_retained_quota else now
        node_state.joined_at = _since(is_counted, node_state.joined_at, counted_since)

    def _update_shields(self, now: int) -> None:
        node_state = self.node_state
        incarnations = map(node_state.tables.incarnation, node_state.snapshot.shields)
        node_state.shield_since = {
            incarnation: node_state.shield_since.get(incarnation, now)
            for incarnation in incarnations
        }

    def _update_warming_up(self, now: int) -> None:
        node_state = self.node_state
        node_state.warming_up_since = {
            origin.name: node_state.warming_up_since.get(origin.name, now)
            for service in node_state.snapshot.services.values()
            for origin in service.origins
            if origin.is_warming_up
        }


def _since(is_so: bool, known_since: int | None, otherwise: int) -> int | None:
    """Returns since when something is so, in µs; None if it is not."""
    if not is_so:
        return None
    return otherwise if known_since is None else known_since
