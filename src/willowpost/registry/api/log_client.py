"""What every call of the control API needs: operations accepted by the log, and quorum reads.

A caller waits about a second, longer for large bodies, then goes on to another registry. So each
call has a deadline, and a registry that is out of touch with the core rejects it at once.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol, TypeVar

import gevent

from willowpost.common.clock import SECOND
from willowpost.node.command_client import SubmissionOutcome
from willowpost.node.node_state import NodeState
from willowpost.registry.api.redirects import ParsedPosition, parse_position, redirection
from willowpost.registry.api.responses import (
    ValidationIssue,
    out_of_touch,
    outcome_unknown,
    rejection,
    superseded,
)
from willowpost.registry.api.submission_counts import CallOutcome, SubmissionCounts
from willowpost.shell.web import Request, Response
from willowpost.state.codec import OPERATION_NAMES
from willowpost.state.operations import Operation
from willowpost.state.results import Reason, Rejected, Result
from willowpost.state.tables import Tables

# A response that leaves by then reaches the caller before it has waited for a second.
CALL_TIMEOUT_US = 850_000
# Callers wait longer for large bodies, which also take longer to check: 4 s for each further MB.
LARGE_BODY_BYTES = 64 * 1024
TIMEOUT_US_PER_BYTE = 4
MAX_CALL_TIMEOUT_US = 4 * SECOND
# What is left for the log at least, once a large body has been checked.
MIN_LOG_TIMEOUT_US = 500_000
# A registry that is out of touch gives its next update this long to arrive.
RECONNECT_TIMEOUT_US = 80_000
POLL_INTERVAL_SECONDS = 0.02

# Makes an operation on top of these tables: the log supersedes it if they have changed since. None:
# what these tables hold supersedes the call itself.
OperationBuilder = Callable[[Tables], Operation | None]


OperationT = TypeVar("OperationT", bound=Operation)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the log did with operations.

    Attributes:
        slot: that decided them.
        operations: as they were submitted.
        results: one for each operation.
    """

    slot: int
    operations: tuple[Operation, ...]
    results: tuple[Result, ...]

    @property
    def is_superseded(self) -> bool:
        """Whether the log rejected an operation since what it was based on has changed."""
        return any(
            isinstance(result, Rejected) and result.reason == Reason.SUPERSEDED
            for result in self.results
        )


class EventQueue(Protocol):
    """Takes the events that the node is to handle."""

    def put(self, event: Any) -> Any:
        """Add an event."""
        ...


class NodeClock(Protocol):
    """The node's own clock."""

    def now(self) -> int:
        """Return its time in µs."""
        ...


class NodeRunner(Protocol):
    """What runs the registry's node: `shell.runner.Runner`, or a simulated one in tests."""

    @property
    def node(self) -> Any:
        """The `RegistryNode`."""
        ...

    @property
    def clock(self) -> NodeClock:
        """The clock by which the node is stepped."""
        ...

    @property
    def inbox(self) -> EventQueue:
        """The events that the node handles next."""
        ...

    def submit(self, *operations: Operation, timeout: float) -> SubmissionOutcome | None:
        """Submit operations to the log; None: no outcome within `timeout` seconds."""
        ...


class LogClient:
    """Submits operations and runs quorum reads for calls; times are µs of the own clock.

    A success is answered only for what n - f stores have synced. Nothing is read from before the
    call. An outcome that is not known by the deadline is answered as unknown, and the operation is
    not submitted again. What is rejected with 503 was not submitted, or was rejected by the log.

    Attributes:
        submissions: How the calls ended that wanted operations in the log.
    """

    def __init__(self, runner: NodeRunner) -> None:
        self.runner = runner
        self.submissions = SubmissionCounts()

    @property
    def node_state(self) -> NodeState:
        """The node's shared state."""
        node_state: NodeState = self.runner.node.node_state
        return node_state

    def now(self) -> int:
        """Return the own clock's time in µs."""
        return self.runner.clock.now()

    def is_in_touch(self) -> bool:
        """Whether a quorum confirmed the tables lately (`NodeState.is_in_touch`)."""
        return self.node_state.is_in_touch(self.now())

    def deadline_for(self, call: Request) -> int:
        """Return when a call that has just come must be answered; µs, own clock."""
        extra_bytes = max(0, len(call.body) - LARGE_BODY_BYTES)
        timeout = CALL_TIMEOUT_US + extra_bytes * TIMEOUT_US_PER_BYTE
        return self.now() + min(timeout, MAX_CALL_TIMEOUT_US)

    def position_of(self, call: Request) -> ParsedPosition:
        """Return a position before which everything that the caller ordered earlier was decided.

        Whatever the caller orders after this call is decided in the position's slot or later. It is
        the one that the call names, since it was redirected, or the one that was known here before
        its connection came; where the server does not know that, the call counts as sent just now.
        An error is the response to the call.
        """
        return parse_position(call, call.known_before or self.node_state.tables.position())

    def redirect(self, call: Request) -> Response:
        """Return the response to an order that something newer may have overtaken."""
        return redirection(call, self.node_state.tables.position())

    def submit(
        self,
        build: OperationBuilder,
        deadline: int,
        on_accepted: Callable[[Any, int], Response],
        on_rejected: Callable[[Rejected], Response] | None = None,
        wait_for_tables: bool = True,
        on_superseded: Callable[[], Response] = superseded,
    ) -> Response:
        """Have one operation accepted by the log and make the response to the call.

        Args:
            build: makes the operation, of the tables here. If the log answers that it is
                superseded, it is made and submitted again on top of newer tables until the
                deadline, unless these supersede the call itself.
            deadline: as deadline_for() returns it.
            on_accepted: makes the response, of the operation's result and the slot.
            on_rejected: makes the response to what the log rejected; by default a conflict.
            wait_for_tables: whether to wait, at most until the deadline, for the tables here to
                reach the slot, so that the caller may continue here at once.
            on_superseded: makes the response to a call that never takes effect, since something
                newer was decided.
        """
        started_at = self.now()
        ended = partial(self._ended, started_at)
        deadline = max(deadline, started_at + MIN_LOG_TIMEOUT_US)
        if not self._wait_until_in_touch():
            return ended(CallOutcome.OUT_OF_TOUCH, out_of_touch())
        outcome: Outcome | None = None
        while outcome is None or outcome.is_superseded:
            if outcome is not None and not self._wait_for_slot(outcome.slot, deadline):
                return ended(CallOutcome.SUPERSEDED, superseded())
            operation = build(self.node_state.tables)
            if operation is None:
                return ended(CallOutcome.SUPERSEDED, on_superseded())
            outcome = self._submit_once((operation,), deadline)
            if outcome is None:
                return ended(CallOutcome.UNKNOWN, outcome_unknown())
        if wait_for_tables:
            self._wait_for_slot(outcome.slot, deadline)
        result = outcome.results[0]
        if not isinstance(result, Rejected):
            return ended(CallOutcome.ACCEPTED, on_accepted(result, outcome.slot))
        rejected = on_rejected(result) if on_rejected else _conflict(outcome.operations[0], result)
        return ended(CallOutcome.REJECTED, rejected)

    def submit_batches(
        self,
        batches: Sequence[Sequence[Operation]],
        deadline: int,
        on_accepted: Callable[[int], Response],
    ) -> Response:
        """Have several batches accepted, in any order, and make one response.

        Args:
            batches: each is submitted as one command.
            deadline: as deadline_for() returns it.
            on_accepted: makes the response, of the last of the slots.
        """
        ended = partial(self._ended, self.now())
        if not self._wait_until_in_touch():
            return ended(CallOutcome.OUT_OF_TOUCH, out_of_touch())
        tasks = [gevent.spawn(self._submit_once, tuple(batch), deadline) for batch in batches]
        last_slot = 0
        for outcome in [task.get() for task in tasks]:
            if outcome is None:
                return ended(CallOutcome.UNKNOWN, outcome_unknown())
            last_slot = max(last_slot, outcome.slot)
        return ended(CallOutcome.ACCEPTED, on_accepted(last_slot))

    def _ended(self, started_at: int, outcome: CallOutcome, response: Response) -> Response:
        """Count a call that came at `started_at` and ended so; returns its response."""
        self.submissions.add(outcome, self.now() - started_at)
        return response

    def quorum_read(self, deadline: int | None = None) -> bool:
        """Wait until the tables here are known to be complete as of now.

        Args:
            deadline: as deadline_for() returns it; None: that of a small call that has just come.

        Returns:
            False if that is not known by the deadline, or cannot be, since this registry is out of
            touch.
        """
        started_at = self.now()
        if deadline is None:
            deadline = started_at + CALL_TIMEOUT_US
        if not self._wait_until_in_touch():
            return False
        return self._wait_until(
            lambda: self._is_complete_as_of(started_at), deadline, self.is_in_touch
        )

    def _is_complete_as_of(self, moment: int) -> bool:
        fresh_as_of = self.node_state.fresh_as_of
        return fresh_as_of is not None and fresh_as_of >= moment

    def _wait_until_in_touch(self) -> bool:
        return self._wait_until(self.is_in_touch, self.now() + RECONNECT_TIMEOUT_US)

    def _wait_for_slot(self, slot: int, deadline: int) -> bool:
        return self._wait_until(lambda: self.node_state.tables.slot > slot, deadline)

    def _submit_once(self, operations: tuple[Operation, ...], deadline: int) -> Outcome | None:
        remaining_us = deadline - self.now()
        if remaining_us <= 0:
            return None
        outcome = self.runner.submit(*operations, timeout=remaining_us / SECOND)
        if outcome is None or outcome.results is None:
            return None
        return Outcome(outcome.slot, operations, outcome.results)

    def _wait_until(
        self,
        condition: Callable[[], bool],
        deadline: int,
        may_wait: Callable[[], bool] = lambda: True,
    ) -> bool:
        while not condition():
            if self.now() >= deadline or not may_wait():
                return False
            gevent.sleep(POLL_INTERVAL_SECONDS)
        return True


def unfenced(operation: Operation) -> OperationBuilder:
    """Return the builder of an operation that is the same on top of any tables."""
    return lambda tables: operation


def unless_superseded(
    operation: OperationT, is_superseded: Callable[[Tables, OperationT], bool]
) -> OperationBuilder:
    """Return the builder of a fenced operation: None on tables that supersede it already."""
    return lambda tables: None if is_superseded(tables, operation) else operation


def _conflict(operation: Operation, rejected: Rejected) -> Response:
    return rejection(409, ValidationIssue(OPERATION_NAMES[type(operation)], rejected.reason))
