"""Runs one node: takes events from its inbox, lets it step.

And carries its plans out in their order.
"""

import os

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty

from willowpost.common.clock import Clock
from willowpost.common.events import Asked, Tick, Withdrawn
from willowpost.node.leaver import Leave, Stage
from willowpost.shell.mesh import Mesh
from willowpost.shell.sized_queue import inbox

TICK_SECONDS = 0.02
BROKE_DOWN = 70
STAGES = tuple(Stage)


class Runner:
    """Invariants: one task steps the node; everybody else talks to it by messages in the inbox.

    If that task breaks down (a full disk, a bug), the process ends at once: half a daemon is worse
    than none.
    """

    def __init__(self, address: str, logs, disk=None, die=os._exit):
        self.die = die
        self.inbox = inbox()
        self.mesh = Mesh(address, self.inbox)
        self.logs = logs
        self.disk = disk
        self.clock = Clock()
        self.node = None
        self.task = None
        self.counter = 0
        self.waiters: dict[int, AsyncResult] = {}

    def start(self, node) -> None:
        """Step `node` from now on."""
        self.node = node
        self.mesh.start()
        self.task = gevent.spawn(self._run)
        self.task.link_exception(self._broke)

    def _broke(self, task):
        self.logs.say("program", "broke down", level="critical", problem=repr(task.exception))
        self.die(BROKE_DOWN)

    def ask(self, *ops, timeout: float = 2.0):
        """Bring ops into the log and wait: their outcome, or None if it is not known in time."""
        return self.want(lambda token: Asked(token, ops), timeout)

    def want(self, make, timeout: float):
        """Give the node an event under a new token, and wait for the reply to it.

        Once nobody waits any more, the node is told so (`Withdrawn`).
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
                self.inbox.put(Withdrawn(token))

    def leave(self, close) -> None:
        """A planned end: close() is called when nothing new is to be taken.

        Returns when the node may be let go.
        """
        self.inbox.put(Leave())
        for reached, then in ((Stage.FINISHING, close), (Stage.GONE, lambda: None)):
            while STAGES.index(self.node.leaver.stage) < STAGES.index(reached):
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
        for part, sentence, more in plan.notes:
            self.logs.say(part, sentence, **more)
