"""Runs one node: takes events from its inbox, steps it and carries out its plans in order."""

import os

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty

from willowpost.common.clock import Clock
from willowpost.common.events import SubmitOperations, Tick, WithdrawSubmission
from willowpost.node.graceful_shutdown import ShutdownRequested, Stage
from willowpost.shell.mesh import Mesh
from willowpost.shell.sized_queue import inbox

TICK_SECONDS = 0.02
BROKE_DOWN = 70
STAGES = tuple(Stage)


class Runner:
    """Steps a node in one task; all others reach it by events in its inbox.

    If that task fails (a full disk, a bug), the process ends at once.

    Args:
        address: The process's `host:port` for messages.
        logs: Where log lines go.
        disk: Where a plan's records are written; None for a node that writes none.
        die: Ends the process with an exit code.
    """

    def __init__(self, address: str, logger, disk=None, die=os._exit):
        self.die = die
        self.inbox = inbox()
        self.mesh = Mesh(address, self.inbox)
        self.logger = logger
        self.disk = disk
        self.clock = Clock()
        self.node = None
        self.task = None
        self.counter = 0
        self.waiters: dict[int, AsyncResult] = {}

    def start(self, node) -> None:
        """Starts to step the node and to accept messages."""
        self.node = node
        self.mesh.start()
        self.task = gevent.spawn(self._run)
        self.task.link_exception(self._broke)

    def _broke(self, task):
        self.logger.log("program", "broke down", level="critical", problem=repr(task.exception))
        self.die(BROKE_DOWN)

    def ask(self, *operations, timeout: float = 2.0):
        """Submits operations to the log; their outcome, or None after `timeout` seconds."""
        return self.want(lambda token: SubmitOperations(token, operations), timeout)

    def want(self, make, timeout: float):
        """Gives the node an event with a new token and waits for the reply.

        Args:
            make: Makes the event from the token.
            timeout: Seconds to wait; the node then gets a `WithdrawSubmission` event.

        Returns:
            The reply, or None on timeout.
        """
        self.counter += 1
        token, waiter = self.counter, AsyncResult()
        self.waiters[token] = waiter
        self.inbox.put(make(token))
        try:
            return waiter.get(timeout=timeout)
        except gevent.Timeout:
            return None
        finally:
            self.waiters.pop(token, None)
            if not waiter.ready():
                self.inbox.put(WithdrawSubmission(token))

    def leave(self, close) -> None:
        """Leaves the fleet in a planned way; returns when the process may end.

        Args:
            close: Called when the process should take nothing new.
        """
        self.inbox.put(ShutdownRequested())
        for reached, then in ((Stage.FINISHING, close), (Stage.GONE, lambda: None)):
            while STAGES.index(self.node.shutdown.stage) < STAGES.index(reached):
                gevent.sleep(TICK_SECONDS)
            then()

    def _run(self):
        tick_at = 0
        while True:
            now = self.clock.now()
            try:
                event = (
                    self.inbox.get(timeout=max(0, tick_at - now) / 1e6) if now < tick_at else Tick()
                )
            except Empty:
                event = Tick()
            if isinstance(event, Tick):
                tick_at = self.clock.now() + int(TICK_SECONDS * 1e6)
                gevent.sleep(0)
            self._carry(self.node.step(event, self.clock.now()))

    def _carry(self, plan):
        if plan.rotate is not None:
            self.disk.rotate(plan.rotate + plan.records)
        elif plan.records:
            self.disk.append(plan.records)
        for address, message in plan.sends:
            self.mesh.send(address, message)
        for token, result in plan.replies:
            waiter = self.waiters.get(token)
            if waiter is not None:
                waiter.set(result)
        for part, sentence, more in plan.log_entries:
            self.logger.log(part, sentence, **more)
