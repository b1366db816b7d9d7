"""The health and statistics pages of a proxy."""

import json
from collections import Counter

from willowpost.common.clock import MILLI, Clock
from willowpost.proxy.caller.response import ClientResponse
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.proxy_state import ProxyState

HEALTH = "/.wp/health"
STATS = "/.wp/stats"
PATHS = (HEALTH, STATS)
RETRY_AFTER_SECONDS = "2"


class ProxyStatusPage:
    """Describes the proxy to load balancers and operators.

    Args:
        node_state: The proxy's shared state.
        clock: This process's clock.
        stats: Counters by name.
        outgoing: The requests that have been sent.
    """

    def __init__(
        self,
        node_state: ProxyState,
        clock: Clock,
        stats: Counter[str],
        outgoing: OutgoingRequests,
    ) -> None:
        self._node_state, self._clock = node_state, clock
        self._stats, self._outgoing = stats, outgoing

    def respond(self, path: str, in_flight: int) -> ClientResponse:
        """Returns the response to the health or the statistics path.

        The health path gives 503 unless the proxy holds a lease, is warmed up, is not draining and
        its zone is not evacuated.

        Args:
            path: HEALTH or STATS.
            in_flight: The clients' requests in flight.
        """
        now = self._clock.now()
        is_healthy = self._is_healthy(now)
        value = self._health(is_healthy, now)
        if path == STATS:
            value |= self._statistics(in_flight)
        headers = [("content-type", "application/json")]
        status = 200 if is_healthy or path == STATS else 503
        if status == 503:
            headers.append(("retry-after", RETRY_AFTER_SECONDS))
        return ClientResponse(status, headers, json.dumps(value).encode() + b"\n")

    def _is_healthy(self, now: int) -> bool:
        node_state = self._node_state
        return (
            node_state.may_serve(now)
            and not node_state.is_draining
            and node_state.emptied_at is None
            and node_state.warmed_up(now)
        )

    def _health(self, is_healthy: bool, now: int) -> dict[str, object]:
        node_state = self._node_state
        age = node_state.age(now)
        return {
            "sound": is_healthy,
            "draining": node_state.is_draining,
            "emptied": node_state.emptied_at is not None,
            "slot": node_state.tables.slot,
            "version": node_state.snapshot.version,
            "age_ms": None if age is None else age // MILLI,
        }

    def _statistics(self, in_flight: int) -> dict[str, object]:
        grants = self._node_state.grants
        return {
            "stats": dict(self._stats),
            "in_flight": in_flight,
            "without_caller": self._outgoing.count_orphaned(),
            "shares": {name: round(grant.rate, 3) for name, grant in grants.items()},
        }
