"""The load that origins report in their heartbeats. Soft state."""

from willowpost.common.clock import SECOND
from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.proxy.proxy_state import ProxyState
from willowpost.wire.messages import OriginHeartbeat

REPORT_SPAN = 5 * SECOND
# of the report before: one that was busy is not trusted to be idle at its first word
KEPT_PART = 0.5


class Reports:
    """Keeps `node_state.reports` and `node_state.cold` by the heartbeats of known origins.

    `reports` has an origin's smoothed load and when it was reported; `cold` has when its last
    heartbeat came and until when the origin calls itself cold.
    """

    def __init__(self, node_state: ProxyState):
        self.node_state = node_state
        self.numbers: dict[str, int] = {}

    def step(self, event, now: int) -> Plan:
        """Takes an origin's heartbeat, unless it is older than the last; `now` is in µs."""
        match event:
            case Received(_, OriginHeartbeat() as beat) if (
                beat.origin in self.node_state.tables.origins
                and beat.number >= self.numbers.get(beat.origin, 0)
            ):
                known = self.node_state.tables.origins
                self.numbers = {
                    **{name: held for name, held in self.numbers.items() if name in known},
                    beat.origin: beat.number,
                }
                self.node_state.cold = {
                    **{name: held for name, held in self.node_state.cold.items() if name in known},
                    beat.origin: (now, now + beat.cold if beat.cold else 0),
                }
                self._report(beat.origin, beat.load, now)
        return Plan()

    def _report(self, origin, load, now):
        node_state = self.node_state
        if origin in node_state.snapshot.origins:
            held, _ = node_state.reports.get(origin, (0, now))
            kept = {
                name: report
                for name, report in node_state.reports.items()
                if name in node_state.snapshot.origins
            }
            node_state.reports = {**kept, origin: (max(load, held * KEPT_PART), now)}
