"""The interface of a node's parts: each takes events one by one and returns what to do."""

from typing import Any, Protocol

from willowpost.common.plan import Plan


class Controller(Protocol):
    """A part of a node; step() does no input or output of its own."""

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event at time `now` (µs, own clock).

        Returns:
            What is to be written, sent and answered.
        """
        ...
