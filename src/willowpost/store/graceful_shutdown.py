"""A store's planned end: hand its vote over, or make sure that other voters have its data.

A signal requests only the end of the process; whether the disk stays is not known. If a learner
may replace the voter, the machine is likely to be removed together with its disk: the store reports
that it is draining, the learner replaces it by a decision of the log, and the store goes on serving
as a voter, then as a source, until the new epoch has begun, so that n - f of the new voters have
everything. Without such a learner it is a restart: the store stays a voter and ends as soon as
n - f other voters have what it has, or after a short time.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.node.command_client import CommandClient
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.node.join import FleetJoin
from willowpost.node.staged_shutdown import StagedShutdown
from willowpost.state.apply.voters import is_change_complete, successor_of
from willowpost.state.operations import DrainDaemon
from willowpost.store.voter_repair import VoterRepair


class StoreShutdownStage(Enum):
    """The stages of a store's planned end; the transitions are in `TRANSITIONS`."""

    SERVING = "serving"
    HANDING_OVER = "handing over"  # until a learner has replaced it as a voter
    AWAITING_SYNC = "awaiting sync"  # until n - f others have what it has
    STOPPED = "stopped"


TRANSITIONS: Mapping[StoreShutdownStage, frozenset[StoreShutdownStage]] = MappingProxyType(
    {
        StoreShutdownStage.SERVING: frozenset(
            {StoreShutdownStage.HANDING_OVER, StoreShutdownStage.AWAITING_SYNC}
        ),
        StoreShutdownStage.HANDING_OVER: frozenset({StoreShutdownStage.AWAITING_SYNC}),
        StoreShutdownStage.AWAITING_SYNC: frozenset({StoreShutdownStage.STOPPED}),
        StoreShutdownStage.STOPPED: frozenset(),
    }
)
HANDOVER_TIMEOUT_US = 5 * SECOND
SYNC_TIMEOUT_US = 500 * MILLISECOND


@dataclass(frozen=True, slots=True)
class StoreShutdownTimeouts:
    """Time limits of a store's planned end, in µs.

    Attributes:
        handover: from the request to the end, if a learner may replace the voter.
        sync: from the request to the end, if none may.
    """

    handover: int = HANDOVER_TIMEOUT_US
    sync: int = SYNC_TIMEOUT_US


class StoreShutdown(StagedShutdown[StoreShutdownStage]):
    """Ends a store; it is stopped at the latest when the timeout that applies is over.

    Args:
        node_state: of the store.
        command_client: submits the operation.
        fleet_join: stops joining at the beginning of the end.
        voter_repair: stops requesting a vote then.
        incarnation: of this process.
    """

    transitions = TRANSITIONS

    def __init__(
        self,
        node_state: ReplicaState,
        command_client: CommandClient,
        fleet_join: FleetJoin,
        voter_repair: VoterRepair,
        incarnation: int,
    ) -> None:
        super().__init__(StoreShutdownStage.SERVING)
        self.timeouts = StoreShutdownTimeouts()
        self.node_state = node_state
        self.command_client = command_client
        self.fleet_join = fleet_join
        self.voter_repair = voter_repair
        self.incarnation = incarnation
        self.stop_by = 0

    def step(self, event: Any, now: int) -> Plan:
        """Begin on `ShutdownRequested`; on each tick, move on if the next stage is due."""
        plan = Plan()
        if isinstance(event, ShutdownRequested) and self.stage is StoreShutdownStage.SERVING:
            self._begin(now if event.requested_at is None else event.requested_at, now, plan)
        elif isinstance(event, Tick):
            self._tick(now, plan)
        return plan

    def _begin(self, requested_at: int, now: int, plan: Plan) -> None:
        self.fleet_join.is_leaving = self.voter_repair.is_leaving = True
        if self._successor() is None:
            self.stop_by = requested_at + self.timeouts.sync
            self._move_to(StoreShutdownStage.AWAITING_SYNC, plan)
            return
        self.stop_by = requested_at + self.timeouts.handover
        self._move_to(StoreShutdownStage.HANDING_OVER, plan)
        operation = DrainDaemon(self.node_state.member.identity, self.incarnation)
        submission = SubmitOperations(None, (operation,), self.timeouts.handover)
        plan.join(self.command_client.step(submission, now))

    def _tick(self, now: int, plan: Plan) -> None:
        if self.stage is StoreShutdownStage.HANDING_OVER:
            if not self.node_state.is_voter:
                self._move_to(StoreShutdownStage.AWAITING_SYNC, plan)
            elif now >= self.stop_by or self._successor() is None:
                self.stop_by = min(self.stop_by, now + self.timeouts.sync)
                self._move_to(StoreShutdownStage.AWAITING_SYNC, plan)
        if self.stage is StoreShutdownStage.AWAITING_SYNC and (
            now >= self.stop_by or self._is_synced()
        ):
            self._move_to(StoreShutdownStage.STOPPED, plan)

    def _successor(self) -> str | None:
        node_state = self.node_state
        if not node_state.is_voter:
            return None
        return successor_of(node_state.tables, node_state.member.identity)

    def _is_synced(self) -> bool:
        """Whether all data that this store counted for in a quorum is safe without it.

        A voter: n - f others have every slot that it has. A replaced voter: the log has gone on
        behind the barrier of the change. A learner never counted.
        """
        node_state, own_identity = self.node_state, self.node_state.member.identity
        if not node_state.is_voter:
            was_replaced = own_identity in node_state.tables.previous_voter_identities()
            return not was_replaced or is_change_complete(node_state.tables)
        others = [identity for identity in node_state.voter_addresses if identity != own_identity]
        synced = sum(
            node_state.synced_indexes.get(identity, 0) >= node_state.tables.slot
            for identity in others
        )
        needed = min(node_state.quorum_sizes.quorum, len(others))
        return bool(synced >= needed)

    def _move_to(self, stage: StoreShutdownStage, plan: Plan) -> None:
        self._enter_stage(stage)
        plan.log("shutdown", "stage entered", stage=stage.value, slot=self.node_state.tables.slot)
