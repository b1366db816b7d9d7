"""The metrics of a proxy, as its metrics page states them."""

from collections.abc import Iterable
from itertools import accumulate
from math import inf

from willowpost.common.clock import SECOND
from willowpost.proxy.frontend import Frontend
from willowpost.proxy.outgoing import AGE_BOUNDS_MS, OutgoingRequests
from willowpost.proxy.proxy_state import ProxyState
from willowpost.shell.metrics import HistogramMetric, Metric

MS_PER_SECOND = 1000


class ProxyMetrics:
    """Collects the metrics of one proxy.

    Args:
        front: The clients' side, with its counters.
        node_state: The proxy's shared state.
        outgoing: The requests that have been sent.
    """

    def __init__(self, front: Frontend, node_state: ProxyState, outgoing: OutgoingRequests) -> None:
        self._front, self._node_state, self._outgoing = front, node_state, outgoing

    def __call__(self) -> Iterable[Metric | HistogramMetric]:
        """Yields the metrics as they are now."""
        yield from self._counters()
        yield from self._gauges()
        yield self._table_ages()

    def _counters(self) -> Iterable[Metric]:
        events: dict[str, float] = dict(self._front.stats)
        yield Metric("events", "Events by name.", events, "event", is_counter=True)
        yield Metric(
            "invariant_violations",
            "Requests that broke an invariant when or after they were sent.",
            dict(self._outgoing.violations),
            "invariant",
            is_counter=True,
        )

    def _gauges(self) -> Iterable[Metric]:
        yield _gauge("requests_in_flight", "Callers' requests under way.", self._front.in_flight)
        yield _gauge(
            "exchanges", "Exchanges with origins and shields.", len(self._outgoing.in_flight)
        )
        yield _gauge(
            "exchanges_without_caller",
            "Exchanges under way for which nobody waits.",
            self._outgoing.count_orphaned(),
        )
        yield _gauge("log_slot", "The slot that the tables have.", self._node_state.tables.slot)
        age = self._node_state.tables_age(self._front.now())
        if age is not None:
            yield _gauge("tables_age_seconds", "The age of the tables.", age / SECOND)

    def _table_ages(self) -> HistogramMetric:
        ages = self._outgoing.ages
        bounds = [bound / MS_PER_SECOND for bound in AGE_BOUNDS_MS] + [inf]
        counts = list(zip(bounds, accumulate(ages.counts), strict=True))
        text = "The age of the tables by which requests were sent."
        return HistogramMetric("sent_tables_age_seconds", text, counts, ages.total / SECOND)


def _gauge(name: str, text: str, value: float) -> Metric:
    return Metric(name, text, {"": value})
