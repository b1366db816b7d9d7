"""Lets go of decisions that n - f replicas hold, and writes a snapshot in their place."""

from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState


class Compaction:
    """Invariant: no decision is dropped before n - f members hold it synced."""

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state

    def step(self, event, now: int) -> Plan:
        plan, node_state = Plan(), self.node_state
        if (
            not isinstance(event, Tick)
            or not node_state.bootstrapped
            or node_state.tables.slot - node_state.rotated_at < node_state.pace.rotate
        ):
            return plan
        floor = max(
            node_state.log_floor,
            min(node_state.safe(), node_state.tables.slot - node_state.pace.keep),
        )
        node_state.log = {
            slot: decision for slot, decision in node_state.log.items() if slot >= floor
        }
        node_state.log_floor, node_state.rotated_at = floor, node_state.tables.slot
        plan.rotate = node_state.segment()
        plan.note("compaction", "snapshot written", slot=node_state.tables.slot, floor=floor)
        return plan
