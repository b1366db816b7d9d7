"""What every call needs of the log: to have an op accepted.

And to know that what is held here is whole.
"""

import gevent

from willowpost.shell.web import Answer, reject

READ_SECONDS = 3.0
ACCEPT_SECONDS = 4.0


class ControlApi:
    """Invariants: a success is answered only for what the log accepted.

    An outcome not known in time is called unknown.
    """

    def __init__(self, runner):
        self.runner = runner

    @property
    def node_state(self):
        return self.runner.node.node_state

    def accepted(
        self, op: dict, answered, seconds: float = ACCEPT_SECONDS, follow: bool = True, refused=None
    ) -> Answer:
        """`follow`: whoever asked may go on here at once.

        Since the tables held here have come as far. `refused` makes the answer to what the log did
        not do; without it, that is a conflict.
        """
        result = self.runner.ask(op, timeout=seconds)
        if result is None or result["answers"] is None:
            return unknown()
        if follow:
            self._until(lambda: self.node_state.tables.slot > result["slot"])
        answer = result["answers"][0]
        if answer["ok"]:
            return answered(answer, result["slot"])
        return (
            refused(answer)
            if refused
            else Answer(409, {"findings": [{"place": op["op"], "finding": answer["why"]}]})
        )

    def accepted_all(self, batches: list[list[dict]]) -> int | None:
        """The last of their slots, or None if not all are known to be accepted."""
        tasks = [gevent.spawn(self.runner.ask, *batch, timeout=ACCEPT_SECONDS) for batch in batches]
        results = [task.get() for task in tasks]
        return (
            None
            if any(result is None or result["answers"] is None for result in results)
            else max(result["slot"] for result in results)
        )

    def read(self) -> bool:
        """A quorum read: wait until what we hold is known to be whole as of now."""
        asked = self.runner.clock.now()
        return self._until(
            lambda: self.node_state.fresh_as_of is not None and self.node_state.fresh_as_of >= asked
        )

    def _until(self, condition) -> bool:
        begun = self.runner.clock.now()
        while not condition():
            if self.runner.clock.now() - begun > READ_SECONDS * 1e6:
                return False
            gevent.sleep(0.02)
        return True


def unknown() -> Answer:
    return reject(504, "not known in time whether it was accepted", outcome="unknown")


def unread() -> Answer:
    return reject(503, "no quorum read in time")
