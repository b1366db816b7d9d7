"""The planned end of a proxy or registry: drain, finish open requests, leave the log."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.node.join import FleetJoin
from willowpost.node.node_state import NodeState
from willowpost.node.staged_shutdown import StagedShutdown
from willowpost.state.operations import DrainDaemon, RemoveDaemon


class ShutdownStage(Enum):
    """The stages of a planned end; the transitions are in `TRANSITIONS`."""

    SERVING = "serving"
    DRAINING = "draining"  # still serves everything, but is marked as draining
    FINISHING = "finishing"  # accepts nothing new
    LEAVING = "leaving"  # submits its removal from the log
    STOPPED = "stopped"


TRANSITIONS: Mapping[ShutdownStage, frozenset[ShutdownStage]] = MappingProxyType(
    {
        ShutdownStage.SERVING: frozenset({ShutdownStage.DRAINING}),
        ShutdownStage.DRAINING: frozenset({ShutdownStage.FINISHING}),
        ShutdownStage.FINISHING: frozenset({ShutdownStage.LEAVING}),
        ShutdownStage.LEAVING: frozenset({ShutdownStage.STOPPED}),
        ShutdownStage.STOPPED: frozenset(),
    }
)

# By then every proxy with a lease knows of the drain, and so does every load balancer that checks
# once a second.
DRAIN_TIMEOUT_US = 3 * SECOND
FINISH_TIMEOUT_US = 30 * SECOND
LEAVE_TIMEOUT_US = 1_500 * MILLISECOND
# A request that its receiver ends just before all timeouts are over is still answered.
LAST_RESPONSES_US = 400 * MILLISECOND
# Responses whose last bytes were just written need so long to leave the machine.
MIN_FINISHING_US = 100 * MILLISECOND


@dataclass(frozen=True, slots=True)
class ShutdownTimeouts:
    """Time limits of a planned end, in µs.

    Attributes:
        drain: how long everything is still served while the daemon is marked as draining.
        finish: how long after that it waits for open requests before it leaves the log.
        leave: how long to wait until the log no longer contains the daemon, and for the last open
            requests.
    """

    drain: int
    finish: int
    leave: int


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """An event: the platform wants this process to end.

    Attributes:
        requested_at: when it asked for that, which may be long before the event is handled; µs, own
            clock. None: just now.
    """

    requested_at: int | None = None


class GracefulShutdown(StagedShutdown[ShutdownStage]):
    """Moves a daemon through the stages of its planned end.

    Nothing new is rejected before `timeouts.drain` is over. No open request is given up before
    LAST_RESPONSES_US after the three timeouts together: the daemon leaves the log while the last
    ones go on. All stages together take no longer than that, counted from the platform's request: a
    process that notices it late has less time left, since the platform's grace has begun.

    Args:
        node_state: of the daemon.
        command_client: submits the operations.
        fleet_join: stops joining once the daemon leaves.
        timeouts: None for the defaults.
    """

    transitions = TRANSITIONS

    def __init__(
        self,
        node_state: NodeState,
        command_client: CommandClient,
        fleet_join: FleetJoin,
        timeouts: ShutdownTimeouts | None = None,
    ) -> None:
        super().__init__(ShutdownStage.SERVING)
        self.timeouts = timeouts or ShutdownTimeouts(
            DRAIN_TIMEOUT_US, FINISH_TIMEOUT_US, LEAVE_TIMEOUT_US
        )
        self.node_state = node_state
        self.descriptor = node_state.descriptor
        self.command_client = command_client
        self.fleet_join = fleet_join
        self.stage_entered_at = 0
        self.finish_at = 0
        self.leave_at = 0
        self.end_by = 0
        self.last_busy_at = 0  # when a request or call was last seen in flight, µs
        # Returns the number of requests or calls not answered yet; set by who serves them.
        self.in_flight: Callable[[], int] = lambda: 0

    def step(self, event: Any, now: int) -> Plan:
        """Begin on `ShutdownRequested`; on each tick, move on if the next stage is due."""
        plan = Plan()
        if isinstance(event, ShutdownRequested) and self.stage is ShutdownStage.SERVING:
            self._drain(now if event.requested_at is None else event.requested_at, now, plan)
        elif isinstance(event, Tick):
            self._tick(now, plan)
        return plan

    def _tick(self, now: int, plan: Plan) -> None:
        stage_age = now - self.stage_entered_at
        if self.in_flight():
            self.last_busy_at = now
        match self.stage:
            case ShutdownStage.DRAINING if now >= self.finish_at:
                self._move_to(ShutdownStage.FINISHING, now, plan)
            case ShutdownStage.FINISHING if self._is_finished(stage_age, now):
                self._leave(now, plan)
            case ShutdownStage.LEAVING if self._has_left(stage_age, now):
                self._move_to(ShutdownStage.STOPPED, now, plan)

    def _drain(self, requested_at: int, now: int, plan: Plan) -> None:
        self.finish_at = requested_at + self.timeouts.drain
        self.leave_at = self.finish_at + self.timeouts.finish
        self.end_by = self.leave_at + self.timeouts.leave + LAST_RESPONSES_US
        self.node_state.is_draining = True
        self._move_to(ShutdownStage.DRAINING, now, plan)
        self._submit(DrainDaemon(self.descriptor.id, self.descriptor.incarnation), now, plan)

    def _is_finished(self, stage_age: int, now: int) -> bool:
        has_answered_all = stage_age >= MIN_FINISHING_US and self._is_quiet(now)
        return now >= self.leave_at or has_answered_all

    def _leave(self, now: int, plan: Plan) -> None:
        self.fleet_join.is_leaving = True
        self._move_to(ShutdownStage.LEAVING, now, plan)
        self._submit(RemoveDaemon(self.descriptor.id, self.descriptor.incarnation), now, plan)

    def _has_left(self, stage_age: int, now: int) -> bool:
        if not self._is_quiet(now):
            return now >= self.end_by
        is_removed = self.descriptor.id not in self.node_state.tables.daemons
        return is_removed or stage_age >= self.timeouts.leave

    def _is_quiet(self, now: int) -> bool:
        """Whether all is answered, and the last response has left the machine."""
        return not self.in_flight() and now - self.last_busy_at >= MIN_FINISHING_US

    def _submit(self, operation: DrainDaemon | RemoveDaemon, now: int, plan: Plan) -> None:
        plan.join(self.command_client.step(SubmitOperations(None, (operation,)), now))

    def _move_to(self, stage: ShutdownStage, now: int, plan: Plan) -> None:
        self._enter_stage(stage)
        self.stage_entered_at = now
        plan.log("shutdown", "stage entered", stage=stage.value, in_flight=self.in_flight())
