"""Runs one node: takes events from its inbox, steps it and carries out its plans in order."""

import os
from collections.abc import Callable, Hashable
from typing import Any, Protocol

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty

from willowpost.common.clock import SECOND, Clock
from willowpost.common.events import SubmitOperations, Tick, WithdrawSubmission
from willowpost.common.plan import Plan
from willowpost.node.graceful_shutdown import ShutdownRequested, ShutdownStage
from willowpost.shell.mesh import Mesh
from willowpost.shell.retrying_disk import RecordWriter
from willowpost.shell.sized_queue import create_inbox
from willowpost.shell.structured_log import StructuredLogger

TICK_SECONDS = 0.02
TICK_US = int(TICK_SECONDS * SECOND)
EXIT_INTERNAL_ERROR = 70  # EX_SOFTWARE of sysexits.h
SUBMIT_TIMEOUT_SECONDS = 2.0
STAGES = tuple(ShutdownStage)


class Node(Protocol):
    """What a runner steps: a process's controllers behind one step().

    Attributes:
        shutdown: its `GracefulShutdown`, or a store's `StoreShutdown`.
    """

    shutdown: Any

    def step(self, event: object, now: int) -> Plan:
        """Handle one event at time `now` (µs, own clock)."""


class Runner:
    """Steps a node in one task; all others reach it by events in its inbox.

    If that task fails (a bug, or a disk error that `RetryingDisk` does not retry), the process ends
    at once.

    Args:
        address: the process's `host:port` for messages.
        logger: where log lines go.
        disk: where a plan's records are written; None for a node that writes none.
        exit_process: ends the process with an exit code.
    """

    def __init__(
        self,
        address: str,
        logger: StructuredLogger,
        disk: RecordWriter | None = None,
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        self.exit_process = exit_process
        self.inbox = create_inbox()
        self.mesh = Mesh(address, self.inbox)
        self.logger = logger
        self.disk = disk
        self.clock = Clock()
        self.node: Any = None
        self.task: gevent.Greenlet | None = None
        self._last_token = 0
        self._waiters: dict[Hashable, AsyncResult] = {}

    def start(self, node: Node) -> None:
        """Start to step the node and to accept messages."""
        self.node = node
        self.mesh.start()
        self.task = gevent.spawn(self._run)
        self.task.link_exception(self._exit_on_failure)

    def _exit_on_failure(self, task: gevent.Greenlet) -> None:
        self.logger.log("program", "broke down", level="critical", problem=repr(task.exception))
        self.exit_process(EXIT_INTERNAL_ERROR)

    def submit(self, *operations: object, timeout: float = SUBMIT_TIMEOUT_SECONDS) -> Any:
        """Submit operations to the log and wait.

        Args:
            operations: of `state/operations.py`.
            timeout: seconds to wait.

        Returns:
            Their `SubmissionOutcome`, or None on time-out.
        """
        return self.request(lambda token: SubmitOperations(token, operations), timeout)

    def request(self, make_event: Callable[[int], object], timeout: float) -> Any:
        """Give the node an event with a new token and wait for the reply.

        Args:
            make_event: makes the event from the token.
            timeout: seconds to wait; the node then gets a `WithdrawSubmission` event.

        Returns:
            The reply, or None on time-out.
        """
        self._last_token += 1
        token, waiter = self._last_token, AsyncResult()
        self._waiters[token] = waiter
        self.inbox.put(make_event(token))
        try:
            return waiter.get(timeout=timeout)
        except gevent.Timeout:
            return None
        finally:
            self._waiters.pop(token, None)
            if not waiter.ready():
                self.inbox.put(WithdrawSubmission(token))

    def shut_down(self, requested_at: int, close: Callable[[], object]) -> None:
        """End a proxy or registry by a `GracefulShutdown`; returns when the process may end.

        A store has stages of its own: see `StoreDaemon.stop`.

        Args:
            requested_at: when the machine asked for it; µs, own clock.
            close: called when the process should accept nothing new.
        """
        self.inbox.put(ShutdownRequested(requested_at))
        self._wait_for_stage(ShutdownStage.FINISHING)
        close()
        self._wait_for_stage(ShutdownStage.STOPPED)

    def _wait_for_stage(self, stage: ShutdownStage) -> None:
        while STAGES.index(self.node.shutdown.stage) < STAGES.index(stage):
            gevent.sleep(TICK_SECONDS)

    def _run(self) -> None:
        next_tick_at = 0
        while True:
            event = self._next_event(next_tick_at)
            if isinstance(event, Tick):
                next_tick_at = self.clock.now() + TICK_US
                gevent.sleep(0)  # other tasks get their turn, however full the inbox is
            self._execute(self.node.step(event, self.clock.now()))

    def _next_event(self, next_tick_at: int) -> object:
        now = self.clock.now()
        if now >= next_tick_at:
            return Tick()
        try:
            return self.inbox.get(timeout=(next_tick_at - now) / SECOND)
        except Empty:
            return Tick()

    def _execute(self, plan: Plan) -> None:
        """Carry out a plan: records first, so that nothing leaves before it is synced."""
        if plan.rotate is not None:
            self._require_disk().rotate(plan.rotate + plan.records)
        elif plan.records:
            self._require_disk().append(plan.records)
        for address, message in plan.sends:
            self.mesh.send(address, message)
        for token, result in plan.replies:
            waiter = self._waiters.get(token)
            if waiter is not None:
                waiter.set(result)
        for entry in plan.log_entries:
            self.logger.log(entry.component, entry.event, **entry.fields)

    def _require_disk(self) -> RecordWriter:
        if self.disk is None:
            raise TypeError("a node without a disk wants records written")
        return self.disk
