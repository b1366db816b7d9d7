"""The exchange of ballot states between the replicas in the open slot.

A ballot state is cumulative: a replica's proposal, and all its states and votes of the slot so far.
It replaces the paper's Proposal, State and Vote messages (Algorithm 2), so that a lost
message is made good by the next one.
"""

from dataclasses import replace
from typing import TypeGuard

from willowpost.common.plan import Plan
from willowpost.consensus.replica.records import ballot_state_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.wire.messages import BallotState

MAX_EARLY_SLOTS = 64  # beyond the open one, whose ballot states are kept


class BallotExchange:
    """Records the ballot states of others and sends the own one.

    The own ballot state is sent only in the plan that first writes it to disk, or in a later one.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.sent_at = 0  # the own ballot state; µs, own clock

    def record(self, ballot_state: BallotState, now: int) -> None:
        """Record another replica's ballot state of the open slot or of a later one."""
        node_state, slot = self.node_state, self.node_state.tables.slot
        is_voter = ballot_state.identity in node_state.voter_addresses
        if is_voter:
            node_state.record_synced_index(ballot_state.identity, ballot_state.slot)
        if slot < ballot_state.slot < slot + MAX_EARLY_SLOTS:
            early = node_state.early_ballot_states.setdefault(ballot_state.slot, {})
            _replace_if_longer(early, ballot_state)
        elif (
            ballot_state.slot == slot and is_voter and ballot_state.epoch == node_state.tables.epoch
        ):
            if not node_state.ballot_states:
                node_state.ballot_states_since = now
            _replace_if_longer(node_state.ballot_states, ballot_state)

    def adopt(self, ballot_state: BallotState, now: int, plan: Plan, is_first: bool) -> None:
        """Make this the own ballot state: write it to disk and send it.

        Only the slot's first one carries the command's body.
        """
        node_state = self.node_state
        without_body = replace(ballot_state, command=None)
        node_state.own_ballot_state = ballot_state
        node_state.ballot_states[node_state.member.identity] = without_body
        plan.records.append(ballot_state_record(ballot_state, with_command=is_first))
        self._broadcast(ballot_state if is_first else without_body, now, plan)

    def _broadcast(self, ballot_state: BallotState, now: int, plan: Plan) -> None:
        """Send the ballot state to all others, replacing an earlier one of this plan and slot.

        The earlier one may carry the command's body, which is then sent with this one.
        """
        self.sent_at = now
        superseded = [
            message for _, message in plan.sends if _is_ballot_state_of(message, ballot_state.slot)
        ]
        body = next(
            (message.command for message in superseded if message.command), ballot_state.command
        )
        plan.sends = [
            (address, message)
            for address, message in plan.sends
            if not _is_ballot_state_of(message, ballot_state.slot)
        ]
        newest = replace(ballot_state, command=body)
        plan.sends += [(address, newest) for address in self.node_state.other_addresses()]

    def resend_if_due(self, now: int, plan: Plan) -> None:
        """Send the own ballot state again, marked so, if none was sent for the resend interval."""
        node_state = self.node_state
        own = node_state.own_ballot_state
        is_due = now - self.sent_at >= node_state.tuning.resend_interval_us
        if own is None or not node_state.is_voter or not is_due:
            return
        self.sent_at = now
        resent = replace(own, is_resend=True)
        plan.sends += [(address, resent) for address in node_state.other_addresses()]


def _is_ballot_state_of(message: object, slot: int) -> TypeGuard[BallotState]:
    return isinstance(message, BallotState) and message.slot == slot


def _replace_if_longer(known: dict[str, BallotState], ballot_state: BallotState) -> None:
    """Keep the newer of two ballot states of one replica and slot; a newer one extends the older.

    Bodies are kept in the queue of pending commands alone.
    """
    before = known.get(ballot_state.identity)
    if before is None or _length(ballot_state) > _length(before):
        known[ballot_state.identity] = replace(ballot_state, command=None)


def _length(ballot_state: BallotState) -> int:
    return len(ballot_state.states) + len(ballot_state.votes)
