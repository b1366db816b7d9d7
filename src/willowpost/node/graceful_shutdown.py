"""The planned end of a proxy or registry: drain, finish what is under way, leave the log."""

from dataclasses import dataclass
from enum import Enum

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.state.operations import DrainDaemon, RemoveDaemon


class Stage(Enum):
    """The stages of a planned end; the transitions are in `NEXT`."""

    SERVING = "serving"
    DRAINING = "draining"  # still serves all, but says that it goes
    FINISHING = "finishing"  # takes nothing new
    LEAVING = "leaving"  # asks to be taken out of the log
    GONE = "gone"


NEXT = {
    Stage.SERVING: {Stage.DRAINING},
    Stage.DRAINING: {Stage.FINISHING},
    Stage.FINISHING: {Stage.LEAVING},
    Stage.LEAVING: {Stage.GONE},
    Stage.GONE: set(),
}

# every proxy with a lease has heard of it by then, and every balancer that asks once a second
DRAIN_SPAN = 3 * SECOND
FINISH_SPAN = 30 * SECOND
LAST_BYTES = 100 * MILLI
LEAVE_SPAN = 1_500 * MILLI


@dataclass(frozen=True, slots=True)
class ShutdownTimeouts:
    """Time limits of a planned end, in µs.

    Attributes:
        drain: how long everything is still served while the daemon is marked as draining.
        finish: how long requests under way may take after that.
        leave: how long to wait until the log no longer holds the daemon.
    """

    drain: int
    finish: int
    leave: int


class ShutdownRequested:
    """An event: the platform wants this process to end."""


class GracefulShutdown:
    """Moves a daemon through the stages of its end.

    Nothing new is refused before `spans.drain` is over. Nothing under way is given up before
    `spans.finish`, which counts from then, is over. The whole takes no longer than the three spans
    together.
    """

    def __init__(self, node_state, command_client, joiner, spans: ShutdownTimeouts | None = None):
        self.spans = spans or ShutdownTimeouts(DRAIN_SPAN, FINISH_SPAN, LEAVE_SPAN)
        self.node_state, self.descriptor, self.command_client, self.fleet_join = (
            node_state,
            node_state.descriptor,
            command_client,
            joiner,
        )
        self.stage = Stage.SERVING
        self.since = 0
        self.finish_by = 0
        # () -> requests or calls not answered yet; set by who serves them
        self.in_flight = lambda: 0

    @property
    def gone(self) -> bool:
        """Whether the process may end."""
        return self.stage is Stage.GONE

    def step(self, event, now: int) -> Plan:
        """Begin on `ShutdownRequested`; on each tick, move on if the next stage is due."""
        plan = Plan()
        if isinstance(event, ShutdownRequested) and self.stage is Stage.SERVING:
            self.node_state.is_draining = True
            self._move(Stage.DRAINING, now, plan)
            self._submit(DrainDaemon(self.descriptor.id, self.descriptor.incarnation), now, plan)
        elif isinstance(event, Tick):
            self._tick(now - self.since, now, plan)
        return plan

    def _tick(self, span, now, plan):
        if self.stage is Stage.DRAINING and span >= self.spans.drain:
            self.finish_by = now + self.spans.finish
            self._move(Stage.FINISHING, now, plan)
        elif self.stage is Stage.FINISHING and (
            now >= self.finish_by or (span >= LAST_BYTES and not self.in_flight())
        ):
            self.fleet_join.leaving = True
            self._move(Stage.LEAVING, now, plan)
            self._submit(RemoveDaemon(self.descriptor.id, self.descriptor.incarnation), now, plan)
        elif (
            self.stage is Stage.LEAVING
            and (
                span >= self.spans.leave or self.descriptor.id not in self.node_state.tables.daemons
            )
            and (now >= self.finish_by or not self.in_flight())
        ):  # a kept connection may have brought one more
            self._move(Stage.GONE, now, plan)

    def _submit(self, operation, now, plan):
        plan.join(self.command_client.step(SubmitOperations(None, (operation,)), now))

    def _move(self, stage, now, plan):
        assert stage in NEXT[self.stage]
        self.stage, self.since = stage, now
        plan.log("drain", stage.value, in_flight=self.in_flight())
