"""What a node is made of: controllers that take events one by one and say what is to be done."""

from typing import Any, Protocol

from willowpost.common.plan import Plan


class Controller(Protocol):
    """Invariant: step() does no input or output of its own."""

    def step(self, event: Any, now: int) -> Plan:
        """Takes one event at `now` (µs, own clock); what is to be written, sent and answered."""
        ...
