"""Compacts the log: drops decisions that n - f voters hold and writes a snapshot instead."""

from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import trailing
from willowpost.consensus.replica.replica_state import ReplicaState


class Compaction:
    """Begins a new disk segment when the current one has grown enough.

    No decision is dropped before n - f voters hold it synced. Between two segments at most
    `pace.rotate` decisions or `pace.rotate_bytes` bytes are appended (plus what one slot adds). A
    segment keeps at most `pace.keep` decisions and `pace.keep_bytes` bytes of those that may be
    dropped.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state

    def step(self, event, now: int) -> Plan:
        """On a tick: if a new segment is due, drop old decisions and begin it."""
        plan, node_state = Plan(), self.node_state
        if not isinstance(event, Tick) or not node_state.is_bootstrapped or not self._due():
            return plan
        floor = self._floor()
        node_state.log = {
            slot: decision for slot, decision in node_state.log.items() if slot >= floor
        }
        node_state.log_floor = floor
        node_state.forget_unknown_identities()
        node_state.begin_segment(plan)
        plan.log("compaction", "snapshot written", slot=node_state.tables.slot, floor=floor)
        return plan

    def _due(self) -> bool:
        node_state = self.node_state
        return (
            node_state.tables.slot - node_state.snapshot_slot >= node_state.tuning.rotate
            or node_state.appended_bytes >= node_state.tuning.rotate_bytes
        )

    def _floor(self) -> int:
        """Return the first slot whose decision is kept."""
        node_state = self.node_state
        decisions = tuple(node_state.log[slot] for slot in sorted(node_state.log))
        kept = trailing(decisions, node_state.tuning.keep, node_state.tuning.keep_bytes)
        return max(
            node_state.log_floor, min(node_state.safe_slot(), node_state.tables.slot - len(kept))
        )
