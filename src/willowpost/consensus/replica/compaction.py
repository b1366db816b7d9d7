"""Compacts the log: drops decisions that n - f voters hold and writes a snapshot instead."""

from typing import Any

from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import longest_suffix
from willowpost.consensus.replica import barrier
from willowpost.consensus.replica.replica_state import ReplicaState


class Compaction:
    """Begins a new disk segment when the current one has grown enough (Rabia, section 3.4).

    No decision is dropped before n - f voters have synced it. The limits of a segment and of what
    it retains for replicas that are behind are in `ReplicaTuning`; a segment may exceed its limit
    by what one slot adds.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state

    def step(self, event: Any, now: int) -> Plan:
        """On a tick: if a new segment is due, drop old decisions and begin it."""
        plan = Plan()
        if isinstance(event, Tick) and self.node_state.is_bootstrapped and self._is_due():
            self._compact(plan)
        return plan

    def _compact(self, plan: Plan) -> None:
        node_state = self.node_state
        floor = self._new_floor()
        node_state.log = {
            slot: decision for slot, decision in node_state.log.items() if slot >= floor
        }
        node_state.log_floor = floor
        node_state.forget_unknown_identities()
        node_state.begin_segment(plan)
        plan.log("compaction", "snapshot written", slot=node_state.tables.slot, log_floor=floor)

    def _is_due(self) -> bool:
        node_state = self.node_state
        decisions = node_state.tables.slot - node_state.snapshot_slot
        return (
            decisions >= node_state.tuning.max_segment_decisions
            or node_state.appended_bytes >= node_state.tuning.max_segment_bytes
        )

    def _new_floor(self) -> int:
        """Return the first slot whose decision is kept."""
        node_state, tuning = self.node_state, self.node_state.tuning
        decisions = tuple(node_state.log[slot] for slot in sorted(node_state.log))
        retained = longest_suffix(
            decisions, tuning.max_retained_decisions, tuning.max_retained_bytes
        )
        droppable = min(barrier.safe_slot(node_state), node_state.tables.slot - len(retained))
        return max(node_state.log_floor, droppable)
