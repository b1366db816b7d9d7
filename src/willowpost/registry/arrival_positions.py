"""How far this registry knew the log before a connection that it accepts now can have come."""

from collections import deque
from collections.abc import Callable

from willowpost.common.events import Tick
from willowpost.common.log_position import LogPosition
from willowpost.common.plan import Plan
from willowpost.node.node_state import NodeState

# Connections that wait in the backlog are accepted within this many turns of the event loop; each
# tick is a turn of its own.
TICKS_UNTIL_ACCEPTED = 8


def _always() -> bool:
    return True


class ArrivalPositions:
    """Keeps the position of the last ticks, and returns the oldest of them for a new connection.

    A connection may wait in the kernel's backlog while the process stands still. It comes later
    than the ticks before that, so whatever its caller ordered elsewhere afterwards is decided in
    the slot of the returned position or later. The time is not looked at: a process that stood
    still has no ticks meanwhile.

    Args:
        node_state: of this registry.
        is_accepting: whether connections that come are accepted at once; the positions stay as they
            are meanwhile.
    """

    def __init__(self, node_state: NodeState, is_accepting: Callable[[], bool] = _always) -> None:
        self.node_state = node_state
        self.is_accepting = is_accepting
        self.positions: deque[LogPosition] = deque(maxlen=TICKS_UNTIL_ACCEPTED)

    def step(self, event: object, now: int) -> Plan:
        """Handle one event; on a tick, record how far the log is known."""
        if isinstance(event, Tick) and self.is_accepting():
            self.positions.append(self.node_state.tables.position())
        return Plan()

    def before_arrival(self) -> LogPosition:
        """Return a position from before a connection that is accepted now has come."""
        return self.positions[0] if self.positions else LogPosition()
