"""Lets a store that missed a change of the voters learn of it from a voter unknown to it."""

from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.wire.messages import BallotState, CatchupRequest, SyncedIndex


class MissedChange:
    """Asks an unknown voter that is ahead for the decisions in between, once per `pace.ask`.

    Without it, a voter whose former peers are all gone would never learn who votes now, although
    the new voters keep sending it their synced index. What a `CatchupResponse` brings was decided,
    so it is taken from any sender.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.asked_at = 0

    def step(self, event, now: int) -> Plan:
        """On a ballot state or synced index of a later slot from a non-member: ask it."""
        plan = Plan()
        match event:
            case Received(source, BallotState(identity=identity, slot=slot)) | Received(
                source, SyncedIndex(identity=identity, slot=slot)
            ) if self._is_ahead_and_unknown(identity, slot):
                if now - self.asked_at >= self.node_state.tuning.ask:
                    self.asked_at = now
                    plan.send(source, CatchupRequest(self.node_state.tables.slot))
        return plan

    def _is_ahead_and_unknown(self, identity: str, slot: int) -> bool:
        node_state = self.node_state
        return (
            node_state.is_bootstrapped
            and slot > node_state.tables.slot
            and identity not in node_state.voter_addresses
        )
