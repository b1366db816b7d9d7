"""Renews the routing snapshot and what depends on it when the tables have changed."""

from willowpost.common.plan import Plan
from willowpost.proxy.proxy_state import WARMED_UP_AFTER, ProxyState
from willowpost.proxy.routing.snapshot import SnapshotMaker
from willowpost.state.entries import EvacuationScope
from willowpost.state.lifecycle import DaemonState


class SnapshotKeeper:
    """Swaps the snapshot only after the cache has carried out the purges in the same tables."""

    def __init__(self, node_state: ProxyState, cache, regions=None):
        self.node_state = node_state
        self.cache = cache
        self.maker = SnapshotMaker(regions)

    def step(self, event, now: int) -> Plan:
        """Takes over changed tables after any event; `now` is in µs."""
        node_state, plan = self.node_state, Plan()
        tables = node_state.tables
        if tables.slot == node_state.snapshot.slot:
            return plan
        self.cache.purge(tables)
        before, first = node_state.snapshot.version, not node_state.snapshot.slot
        former = node_state.snapshot
        node_state.snapshot = self.maker.make(tables)
        self._note_senders(former, now)
        if node_state.snapshot.version != before:
            plan.log(
                "configuration", "in force", version=node_state.snapshot.version, slot=tables.slot
            )
        order = tables.zone_evacuations.get(node_state.descriptor.zone)
        emptied = (
            order is not None and order.is_evacuated and order.scope != EvacuationScope.ORIGINS
        )
        node_state.emptied_at = (
            None
            if not emptied
            else node_state.emptied_at
            if node_state.emptied_at is not None
            else now
        )
        own = tables.daemons.get(node_state.descriptor.id)
        up = own is not None and own.state is not DaemonState.LOST
        node_state.kept_quota = up and (first or node_state.kept_quota)
        counted = up and (
            node_state.kept_quota or own.incarnation == node_state.descriptor.incarnation
        )
        since = now - WARMED_UP_AFTER if node_state.kept_quota else now
        node_state.joined_at = (
            None
            if not counted
            else node_state.joined_at
            if node_state.joined_at is not None
            else since
        )
        node_state.shield_since = {
            incarnation: node_state.shield_since.get(incarnation, now)
            for incarnation in map(tables.incarnation, node_state.snapshot.shields)
        }
        node_state.cold_since = {
            origin.name: node_state.cold_since.get(origin.name, now)
            for service in node_state.snapshot.services.values()
            for origin in service.origins
            if origin.cold
        }
        return plan

    def _note_senders(self, former, now):
        """Notes since when this proxy has been a sender of each service.

        A service that is new here, or whose first snapshot this is, had no other senders whose use
        of its rate this one would not know.
        """
        node_state, own = self.node_state, self.node_state.descriptor.id
        held = node_state.sender_since
        node_state.sender_since = {
            name: held.get(name, now if name in former.services else None)
            for name, service in node_state.snapshot.services.items()
            if own in service.senders
        }
