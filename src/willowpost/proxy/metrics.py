"""The metrics of a proxy, as its metrics page states them."""

from collections.abc import Iterable, Mapping

from willowpost.common.memory_budget import MemoryBudget
from willowpost.common.memory_pool import MemoryPool
from willowpost.proxy.frontend import Frontend
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.proxy_state import ProxyState
from willowpost.shell.log_metrics import log_metrics, violation_metric
from willowpost.shell.metrics import AnyMetric, Metric, duration_metric, gauge
from willowpost.shell.resident_memory import resident_bytes


class ProxyMetrics:
    """Collects the metrics of one proxy.

    Args:
        front: The clients' side, with its counters.
        node_state: The proxy's shared state.
        outgoing: The requests that have been sent.
        tables_violations: Of the invariants of the tables, by name.
    """

    def __init__(
        self,
        front: Frontend,
        node_state: ProxyState,
        outgoing: OutgoingRequests,
        tables_violations: Mapping[str, int],
    ) -> None:
        self._front, self._node_state, self._outgoing = front, node_state, outgoing
        self._tables_violations = tables_violations

    def __call__(self) -> Iterable[AnyMetric]:
        """Yields the metrics as they are now."""
        yield from self._counters()
        yield from self._gauges()
        yield duration_metric(
            "sent_tables_age_seconds",
            "The age of the tables by which requests were sent.",
            self._outgoing.ages,
        )

    def _counters(self) -> Iterable[AnyMetric]:
        events: dict[str, float] = dict(self._front.stats)
        yield Metric("events", "Events by name.", events, "event", is_counter=True)
        yield violation_metric({**self._outgoing.violations, **self._tables_violations})

        yield self._front.cuts.metric()

    def _memory_gauges(self) -> Iterable[Metric]:
        memory = self._front.memory
        pools: dict[str, MemoryBudget | MemoryPool] = {
            "large_bodies": memory.large_bodies,
            "small_bodies": memory.small_bodies,
            "read_ahead": memory.read_ahead,
            "responses": memory.responses,
        }
        used: dict[str, float] = {name: pool.used for name, pool in pools.items()}
        capacity: dict[str, float] = {name: pool.capacity for name, pool in pools.items()}
        used["resident"], capacity["resident"] = resident_bytes(), memory.process_bytes
        yield Metric("memory_used_bytes", "Memory in use, by what it is for.", used, "part")
        yield Metric("memory_capacity_bytes", "The most of each part.", capacity, "part")
        yield gauge(
            "bodies_waiting", "Bodies that wait for memory, unread.", memory.large_bodies.waiting
        )

    def _gauges(self) -> Iterable[Metric]:
        yield gauge("requests_in_flight", "Callers' requests under way.", self._front.in_flight)
        yield gauge(
            "exchanges", "Exchanges with origins and shields.", len(self._outgoing.in_flight)
        )
        yield gauge(
            "exchanges_without_caller",
            "Exchanges under way for which nobody waits.",
            self._outgoing.count_orphaned(),
        )
        yield from self._memory_gauges()
        node_state = self._node_state
        yield from log_metrics(node_state.tables, node_state.tables_age(self._front.now()))
