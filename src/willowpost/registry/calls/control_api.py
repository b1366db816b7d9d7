"""What every call of the control API needs: operations accepted by the log, and quorum reads.

A caller waits about a second, longer for large bodies, then goes on to another registry. So each
call has a deadline, and a registry that is out of touch with the core refuses at once.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import gevent

from willowpost.common.clock import SECOND
from willowpost.shell.web import Answer, Call, reject
from willowpost.state.codec import OPERATION_NAMES
from willowpost.state.operations import Operation
from willowpost.state.results import Reason, Rejected, Result
from willowpost.state.tables import Tables

# Within these an answer is on its way before the caller has waited for a second.
CALL_SPAN = 850_000
# Callers wait longer for large bodies, which also take longer to check: 4 s for each further MB.
SMALL_BODY = 64 * 1024
SPAN_FOR_EACH_BYTE = 4
CALL_SPAN_MOST = 4 * SECOND
# What is left for the log at least, once a large body has been checked.
ACCEPT_SPAN_LEAST = 500_000
# A registry that is out of touch gives its next update this long to arrive.
RECONNECT_SPAN = 80_000
LOOK_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the log did with operations: the slot that carried them and a result for each."""

    slot: int
    results: tuple[Result, ...]

    @property
    def superseded(self) -> bool:
        """Whether the log refused an operation since what it was based on has changed."""
        return any(
            isinstance(result, Rejected) and result.reason == Reason.SUPERSEDED
            for result in self.results
        )


class ControlApi:
    """Submits operations and reads for the calls; times are µs of the own clock.

    A success is answered only for what n - f stores hold synced. Nothing is read from before the
    call. An outcome that is not known by the deadline is answered as unknown, and the operation is
    not submitted again. What is refused with 503 was not submitted, or was refused by the log.
    """

    def __init__(self, runner):
        self.runner = runner

    @property
    def node_state(self):
        """The node's shared state."""
        return self.runner.node.node_state

    def now(self) -> int:
        """Return the own clock's time in µs."""
        return self.runner.clock.now()

    def is_in_touch(self) -> bool:
        """Whether a quorum confirmed the tables lately (`NodeState.is_in_touch`)."""
        return self.node_state.is_in_touch(self.now())

    def deadline(self, call: Call | None = None) -> int:
        """Return when a call that has just come must be answered; µs, own clock."""
        large = 0 if call is None else max(0, len(call.body) - SMALL_BODY)
        return self.now() + min(CALL_SPAN + large * SPAN_FOR_EACH_BYTE, CALL_SPAN_MOST)

    def accepted(
        self,
        operation: Operation,
        answered: Callable[[Any, int], Answer],
        deadline: int | None = None,
        follow: bool = True,
        refused: Callable[[Rejected], Answer] | None = None,
        fence: Callable[[Tables], dict[str, Any]] | None = None,
    ) -> Answer:
        """Have one operation accepted by the log and make the answer to the call.

        Args:
            operation: the operation.
            answered: makes the answer, of the log's result and the slot.
            deadline: as deadline() returns it; by default, that of a small call that has just come.
            follow: whether to wait, at most until the deadline, for the tables held here to reach
                the slot, so that the caller may continue here at once.
            refused: makes the answer to what the log refused; by default a conflict.
            fence: makes the attributes, of the tables held here, by which the log rejects the
                operation if what it replaces has changed since (`SUPERSEDED`). As long as the
                caller waits, it is then submitted again on top of the newer tables.
        """
        deadline = self.deadline() if deadline is None else deadline
        deadline = max(deadline, self.now() + ACCEPT_SPAN_LEAST)
        if not self._reconnected():
            return out_of_touch()
        outcome = self._submit((operation,), deadline, fence)
        while outcome is not None and outcome.superseded:
            if not self._followed(outcome.slot, deadline):
                return superseded()
            outcome = self._submit((operation,), deadline, fence)
        if outcome is None:
            return unknown()
        if follow:
            self._followed(outcome.slot, deadline)
        result = outcome.results[0]
        if result.is_accepted:
            return answered(result, outcome.slot)
        return refused(result) if refused else _conflict(operation, result)

    def accepted_all(
        self,
        batches: list[list[Operation]],
        answered: Callable[[int], Answer],
        deadline: int | None = None,
    ) -> Answer:
        """Have several batches accepted, in any order, and make one answer.

        Args:
            batches: lists of operations; each list is submitted in one piece.
            answered: makes the answer, of the last of the slots.
            deadline: as deadline() returns it; by default, that of a small call that has just come.
        """
        deadline = self.deadline() if deadline is None else deadline
        if not self._reconnected():
            return out_of_touch()
        tasks = [gevent.spawn(self._submit, tuple(batch), deadline) for batch in batches]
        outcomes = [task.get() for task in tasks]
        if any(outcome is None for outcome in outcomes):
            return unknown()
        return answered(max(outcome.slot for outcome in outcomes))

    def read(self, deadline: int | None = None) -> bool:
        """Run a quorum read: wait until the tables held here are known to be complete as of now.

        Returns:
            False if that is not known by the deadline, or cannot be, since this registry is out of
            touch.
        """
        asked = self.now()
        deadline = self.deadline() if deadline is None else deadline
        if not self._reconnected():
            return False
        return self._until(lambda: self._fresh_as_of(asked), deadline, self.is_in_touch)

    def _fresh_as_of(self, moment):
        fresh_as_of = self.node_state.fresh_as_of
        return fresh_as_of is not None and fresh_as_of >= moment

    def _reconnected(self):
        return self._until(self.is_in_touch, self.now() + RECONNECT_SPAN)

    def _followed(self, slot, deadline):
        return self._until(lambda: self.node_state.tables.slot > slot, deadline)

    def _submit(self, operations, deadline, fence=None) -> Outcome | None:
        left = deadline - self.now()
        if left <= 0:
            return None
        if fence is not None:
            fields = fence(self.node_state.tables)
            operations = tuple(replace(operation, **fields) for operation in operations)
        outcome = self.runner.ask(*operations, timeout=left / SECOND)
        if outcome is None or outcome.results is None:
            return None
        return Outcome(outcome.slot, outcome.results)

    def _until(self, condition, deadline, worthwhile=lambda: True) -> bool:
        while not condition():
            if self.now() >= deadline or not worthwhile():
                return False
            gevent.sleep(LOOK_SECONDS)
        return True


def as_of_slot(tables: Tables) -> dict:
    """Return the fence of operations on what the tables keep with the slot of its last change."""
    return {"known_slot": tables.slot}


def unknown() -> Answer:
    """Return the answer (504) if it is not known in time whether the log accepts the operation."""
    return reject(504, "not known in time whether it was accepted", outcome="unknown")


def out_of_touch() -> Answer:
    """Return the answer (503) if nothing was submitted; another registry may be in touch."""
    return reject(503, "out of touch with the core", outcome="not-run")


def superseded() -> Answer:
    """Return the answer (503) if the log refused the operation; it never takes effect."""
    return reject(503, "superseded while it was under way", outcome="not-run")


def unread() -> Answer:
    """Return the answer (503) if a quorum read did not succeed in time."""
    return reject(503, "no quorum read in time", outcome="not-run")


def _conflict(operation: Operation, rejected: Rejected) -> Answer:
    finding = {"place": OPERATION_NAMES[type(operation)], "finding": rejected.reason}
    return Answer(409, {"findings": [finding]})
