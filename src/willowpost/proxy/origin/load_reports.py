"""The load that origins report in their heartbeats. Soft state."""

from collections.abc import Container, Mapping
from typing import Any, NamedTuple, TypeVar

from willowpost.common.clock import SECOND
from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.proxy.proxy_state import ProxyState
from willowpost.wire.messages import OriginHeartbeat

MAX_REPORT_AGE_US = 5 * SECOND
# the weight of the report before: an origin that was busy is not trusted at its first idle report
PREVIOUS_LOAD_WEIGHT = 0.5

Value = TypeVar("Value")


class LoadReport(NamedTuple):
    """The load of one origin.

    Attributes:
        load: Requests in progress and queued, smoothed.
        reported_at: When it was reported, by this process's clock, in µs.
    """

    load: float
    reported_at: int


class WarmUpReport(NamedTuple):
    """What an origin's last heartbeat reports of its warming up.

    Attributes:
        received_at: When the heartbeat was received, by this process's clock, in µs.
        warming_up_until: Until when the origin is warming up; 0 if it is not.
    """

    received_at: int
    warming_up_until: int


class OriginLoadReports:
    """Updates `reports` and `reported_warm_up` of the state by known origins' heartbeats.

    `reports` has a LoadReport by origin; `reported_warm_up` has a WarmUpReport by origin.
    """

    def __init__(self, node_state: ProxyState) -> None:
        self.node_state = node_state
        self.heartbeat_numbers: dict[str, int] = {}

    def step(self, event: Any, now: int) -> Plan:
        """Takes an origin's heartbeat, unless it is older than the last.

        Args:
            event: The node's event; any but a heartbeat is ignored.
            now: This process's clock, in µs.
        """
        match event:
            case Received(_, OriginHeartbeat() as heartbeat) if self._is_current(heartbeat):
                self._update(heartbeat, now)
        return Plan()

    def _is_current(self, heartbeat: OriginHeartbeat) -> bool:
        return (
            heartbeat.origin in self.node_state.tables.origins
            and heartbeat.heartbeat_number >= self.heartbeat_numbers.get(heartbeat.origin, 0)
        )

    def _update(self, heartbeat: OriginHeartbeat, now: int) -> None:
        node_state, origin = self.node_state, heartbeat.origin
        known = node_state.tables.origins
        self.heartbeat_numbers = {
            **_only(known, self.heartbeat_numbers),
            origin: heartbeat.heartbeat_number,
        }
        warming_up_until = now + heartbeat.warm_up_us if heartbeat.warm_up_us else 0
        node_state.reported_warm_up = {
            **_only(known, node_state.reported_warm_up),
            origin: WarmUpReport(now, warming_up_until),
        }
        if origin in node_state.snapshot.origins:
            self._update_load(origin, heartbeat.load, now)

    def _update_load(self, origin: str, load: int, now: int) -> None:
        node_state = self.node_state
        previous_load, _ = node_state.reports.get(origin, (0, now))
        smoothed_load = max(load, previous_load * PREVIOUS_LOAD_WEIGHT)
        node_state.reports = {
            **_only(node_state.snapshot.origins, node_state.reports),
            origin: LoadReport(smoothed_load, now),
        }


def _only(origins: Container[str], values: Mapping[str, Value]) -> dict[str, Value]:
    """Returns the values of these origins."""
    return {origin: value for origin, value in values.items() if origin in origins}
