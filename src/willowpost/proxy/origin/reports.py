"""What origins say of their occupancy, as their beats bring it by way of the registries. Soft state."""
from willowpost.common.clock import SECOND
from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.proxy.board import ProxyBoard
from willowpost.wire.messages import Beat

REPORT_SPAN = 5 * SECOND
KEPT_PART = 0.5       # of the report before: one that was busy is not trusted to be idle at its first word


class Reports:
    """Invariant: `board.reports` holds only origins in force, each with its smoothed occupancy and when it was last told."""

    def __init__(self, board: ProxyBoard):
        self.board = board

    def step(self, event, now: int) -> Plan:
        match event:
            case Received(_, Beat(origin, occupancy)) if origin in self.board.picture.origins:
                held, _ = self.board.reports.get(origin, (0, now))
                kept = {name: report for name, report in self.board.reports.items() if name in self.board.picture.origins}
                self.board.reports = {**kept, origin: (max(occupancy, held * KEPT_PART), now)}
        return Plan()
