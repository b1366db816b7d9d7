"""What a replaced voter still does for the new epoch."""

from typing import Any

from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.barrier import is_first_slot_decided
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.wire.messages import SyncedIndex


class PreviousVoter:
    """Lets a replaced voter report its synced index until the new epoch has begun.

    The new voters may need it for the quorum of the previous ones, and a single report may be lost.
    It stops once a voter has reported an index beyond the epoch's first slot. Voters report the
    same in `Catchup`.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.sent_at = 0  # µs, own clock

    def step(self, event: Any, now: int) -> Plan:
        """On a tick: send the own synced index to all voters if they may still need it."""
        plan, node_state = Plan(), self.node_state
        is_due = now - self.sent_at >= node_state.tuning.synced_index_interval_us
        if isinstance(event, Tick) and is_due and self._may_be_needed():
            self.sent_at = now
            index = SyncedIndex(node_state.member.identity, node_state.tables.slot)
            plan.sends += [(address, index) for address in node_state.other_addresses()]
        return plan

    def _may_be_needed(self) -> bool:
        node_state = self.node_state
        tables = node_state.tables
        return (
            not node_state.is_voter
            and tables.slot == tables.epoch_first_slot()
            and node_state.member.identity in tables.previous_voter_identities()
            and not is_first_slot_decided(node_state)
        )
