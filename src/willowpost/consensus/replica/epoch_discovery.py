"""Lets a store that missed a change of the voters learn of it from a voter unknown to it."""

from typing import Any

from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.wire.messages import BallotState, CatchupRequest, SyncedIndex


class EpochDiscovery:
    """Requests the missing decisions from an unknown voter that is ahead.

    Without it, a voter whose peers were all replaced would never learn who votes now, although the
    new voters keep sending it their synced index. What a `CatchupResponse` brings was decided, so
    it is taken from any sender.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.requested_at = 0  # µs, own clock

    def step(self, event: Any, now: int) -> Plan:
        """On a ballot state or synced index of a later slot: request it from an unknown store."""
        plan = Plan()
        match event:
            case Received(source, BallotState(identity=identity, slot=slot)) | Received(
                source, SyncedIndex(identity=identity, slot=slot)
            ) if self._is_ahead_and_unknown(identity, slot):
                self._request(source, now, plan)
        return plan

    def _request(self, source: str, now: int, plan: Plan) -> None:
        if now - self.requested_at < self.node_state.tuning.catchup_interval_us:
            return
        self.requested_at = now
        plan.send(source, CatchupRequest(self.node_state.tables.slot))

    def _is_ahead_and_unknown(self, identity: str, slot: int) -> bool:
        node_state = self.node_state
        return (
            node_state.is_bootstrapped
            and slot > node_state.tables.slot
            and identity not in node_state.voter_addresses
        )
