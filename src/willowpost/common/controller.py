"""The interface of a node's controllers: each takes events one by one and returns a plan."""

from typing import Protocol

from willowpost.common.plan import Plan


class Controller(Protocol):
    """One concern of a node; step() does no input or output of its own."""

    def step(self, event: object, now: int) -> Plan:
        """Handle one event at time `now` (µs, own clock).

        Returns:
            What is to be written, sent, answered and logged.
        """
        ...
