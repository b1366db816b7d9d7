"""The metrics of a registry, as its metrics page states them."""

from collections.abc import Callable, Iterable, Mapping

from willowpost.node.node_state import NodeState
from willowpost.registry.api.submission_counts import SubmissionCounts
from willowpost.shell.log_metrics import log_metrics, violation_metric
from willowpost.shell.metrics import (
    AnyMetric,
    HistogramMetric,
    Metric,
    duration_metric,
    gauge,
)
from willowpost.shell.request_cuts import RequestCuts
from willowpost.shell.resident_memory import resident_bytes
from willowpost.shell.router import Router


class RegistryMetrics:
    """Collects the metrics of one registry.

    Args:
        node_state: The registry's shared state.
        router: Serves the calls, with its counters.
        submissions: What became of the operations that were submitted for calls.
        cuts: The calls that were not answered.
        violations: Of the invariants of the tables, by name.
        now: Returns this process's clock, in µs.
    """

    def __init__(
        self,
        node_state: NodeState,
        router: Router,
        submissions: SubmissionCounts,
        cuts: RequestCuts,
        violations: Mapping[str, int],
        now: Callable[[], int],
    ) -> None:
        self._node_state, self._router = node_state, router
        self._submissions, self._cuts, self._now = submissions, cuts, now
        self._violations = violations

    def __call__(self) -> Iterable[AnyMetric]:
        """Yields the metrics as they are now."""
        node_state = self._node_state
        yield from log_metrics(node_state.tables, node_state.tables_age(self._now()))
        yield from self._calls()
        has_contact = float(node_state.has_quorum_contact())
        yield self._cuts.metric()
        yield violation_metric(self._violations)
        yield from self._memory()
        yield gauge("quorum_contact", "1 with a quorum in contact a moment ago.", has_contact)

    def _memory(self) -> Iterable[Metric]:
        memory = self._router.memory
        used: dict[str, float] = {
            "large_calls": memory.large_calls.used,
            "small_calls": memory.small_calls.used,
            "resident": resident_bytes(),
        }
        yield Metric("memory_used_bytes", "Memory in use, by what it is for.", used, "part")
        yield gauge(
            "calls_waiting", "Calls that wait for memory, unread.", memory.large_calls.waiting
        )

    def _calls(self) -> Iterable[Metric | HistogramMetric]:
        yield Metric(
            "responses",
            "Responses to calls, by status.",
            {str(code): count for code, count in self._router.responses.items()},
            "status",
            is_counter=True,
        )
        yield gauge("calls_in_flight", "Calls under way.", self._router.in_flight)
        yield Metric(
            "submissions",
            "Calls that wanted an operation in the log, by outcome.",
            {outcome.value: count for outcome, count in self._submissions.counts.items()},
            "outcome",
            is_counter=True,
        )
        yield duration_metric(
            "accepted_seconds",
            "From a call's arrival to its operation's acceptance by the log.",
            self._submissions.accepted_after,
        )
