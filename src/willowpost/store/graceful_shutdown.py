"""A store's planned end: hand over the voter's place, or make sure that others hold its data.

The platform says only that the process is to end. If a learner may take the voter's place, the
machine is likely to be removed together with its disk: the store reports that it leaves, the
learner replaces it by a decision of the log, and the store goes on serving as a voter, then as a
source, until the new epoch has begun, so that n - f of the new voters hold everything. Without such
a learner it is a restart: the store stays a voter and ends as soon as n - f other voters hold what
it holds, or after a short span.
"""

from dataclasses import dataclass
from enum import Enum

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.barrier import previous_identities
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.node.command_client import CommandClient
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.node.join import FleetJoin
from willowpost.state.apply.voters import is_change_complete, successor_of
from willowpost.state.operations import DrainDaemon
from willowpost.store.voter_repair import VoterRepair


class StoreShutdownStage(Enum):
    """The stages of a store's end; the transitions are in `NEXT`."""

    SERVING = "serving"
    HANDING_OVER = "handing over"  # until a learner has replaced it as a voter
    SETTLING = "settling"  # until n - f others hold what it holds
    GONE = "gone"


NEXT = {
    StoreShutdownStage.SERVING: {StoreShutdownStage.HANDING_OVER, StoreShutdownStage.SETTLING},
    StoreShutdownStage.HANDING_OVER: {StoreShutdownStage.SETTLING},
    StoreShutdownStage.SETTLING: {StoreShutdownStage.GONE},
    StoreShutdownStage.GONE: set(),
}
HANDOVER_SPAN = 5 * SECOND
SETTLE_SPAN = 500 * MILLI


@dataclass(frozen=True, slots=True)
class StoreShutdownTimeouts:
    """Time limits of a store's end, in µs."""

    handover: int = HANDOVER_SPAN  # with a learner there: from the signal to the end
    settle: int = SETTLE_SPAN  # without one


class StoreShutdown:
    """Ends a store; the stage is GONE at the latest when the span that applies is over."""

    def __init__(
        self,
        node_state: ReplicaState,
        command_client: CommandClient,
        joiner: FleetJoin,
        repair: VoterRepair,
        incarnation: int,
    ):
        self.spans = StoreShutdownTimeouts()
        self.node_state = node_state
        self.command_client = command_client
        self.fleet_join = joiner
        self.repair = repair
        self.incarnation = incarnation
        self.stage = StoreShutdownStage.SERVING
        self.end_by = 0

    @property
    def gone(self) -> bool:
        """Whether the process may end."""
        return self.stage is StoreShutdownStage.GONE

    def step(self, event, now: int) -> Plan:
        """Begin on `ShutdownRequested`; on each tick, move on if the next stage is due."""
        plan = Plan()
        if isinstance(event, ShutdownRequested) and self.stage is StoreShutdownStage.SERVING:
            self._begin(now, plan)
        elif isinstance(event, Tick):
            self._tick(now, plan)
        return plan

    def _begin(self, now, plan):
        self.fleet_join.leaving = self.repair.leaving = True
        if self._successor() is None:
            self.end_by = now + self.spans.settle
            self._move(StoreShutdownStage.SETTLING, plan)
            return
        self.end_by = now + self.spans.handover
        self._move(StoreShutdownStage.HANDING_OVER, plan)
        identity = self.node_state.member.identity
        op = DrainDaemon(identity, self.incarnation)
        plan.join(self.command_client.step(SubmitOperations(None, (op,), self.spans.handover), now))

    def _tick(self, now, plan):
        if self.stage is StoreShutdownStage.HANDING_OVER:
            if not self.node_state.is_voter:
                self._move(StoreShutdownStage.SETTLING, plan)
            elif now >= self.end_by or self._successor() is None:
                self.end_by = min(self.end_by, now + self.spans.settle)
                self._move(StoreShutdownStage.SETTLING, plan)
        if self.stage is StoreShutdownStage.SETTLING and (now >= self.end_by or self._settled()):
            self._move(StoreShutdownStage.GONE, plan)

    def _successor(self) -> str | None:
        node_state = self.node_state
        return (
            successor_of(node_state.tables, node_state.member.identity)
            if node_state.is_voter
            else None
        )

    def _settled(self) -> bool:
        """Whether all data that this store counted for in a quorum is safe without it.

        A voter: n - f others hold every slot that it holds. A replaced voter: the log has gone on
        behind the barrier of the change. A learner never counted.
        """
        node_state, me = self.node_state, self.node_state.member.identity
        if not node_state.is_voter:
            replaced = me in previous_identities(node_state.tables)
            return not replaced or is_change_complete(node_state.tables)
        others = [identity for identity in node_state.voter_addresses if identity != me]
        holding = sum(
            node_state.synced_indexes.get(identity, 0) >= node_state.tables.slot
            for identity in others
        )
        return holding >= min(node_state.quorum_sizes.quorum, len(others))

    def _move(self, stage: StoreShutdownStage, plan: Plan) -> None:
        if stage not in NEXT[self.stage]:
            raise ValueError(f"no way from {self.stage.value} to {stage.value}")
        self.stage = stage
        plan.log("leave", stage.value, slot=self.node_state.tables.slot)
