"""The metrics of a store, as its metrics page states them."""

from collections.abc import Callable, Iterable, Mapping

from willowpost.common.clock import SECOND
from willowpost.common.duration_histogram import DurationHistogram
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.shell.disk import Disk
from willowpost.shell.log_metrics import log_metrics, violation_metric
from willowpost.shell.metrics import HistogramMetric, Metric, duration_metric, gauge


class StoreMetrics:
    """Collects the metrics of one store.

    Args:
        node_state: The replica's state.
        disk: Its data folder.
        write_durations: How long writes to it took until they were synced.
        violations: Of the invariants of the tables, by name.
        now: Returns this process's clock, in µs.
    """

    def __init__(
        self,
        node_state: ReplicaState,
        disk: Disk,
        write_durations: DurationHistogram,
        violations: Mapping[str, int],
        now: Callable[[], int],
    ) -> None:
        self._violations = violations
        self._node_state, self._disk = node_state, disk
        self._write_durations, self._now = write_durations, now

    def __call__(self) -> Iterable[Metric | HistogramMetric]:
        """Yields the metrics as they are now."""
        node_state = self._node_state
        yield from log_metrics(node_state.tables)
        yield gauge("log_floor", "The first slot whose decision is kept.", node_state.log_floor)
        yield gauge("voter", "1 if it votes in the epoch in force.", float(node_state.is_voter))
        yield gauge("segment_bytes", "The newest segment's length.", self._disk.synced_bytes)
        yield from self._decisions()
        yield from self._pending_commands()
        yield violation_metric(self._violations)
        yield duration_metric(
            "disk_write_seconds",
            "How long writes took until they were synced, retries included.",
            self._write_durations,
        )

    def _pending_commands(self) -> Iterable[Metric | HistogramMetric]:
        pending = self._node_state.pending_commands
        statistics = self._node_state.statistics
        oldest_queued_at = pending.oldest_queued_at()
        oldest_us = 0 if oldest_queued_at is None else self._now() - oldest_queued_at
        yield gauge("pending_commands", "Commands that wait for a slot.", len(pending))
        yield gauge(
            "oldest_pending_seconds", "How long the first of them waits.", oldest_us / SECOND
        )
        yield Metric(
            "expired_commands",
            "Commands that nobody needed any more before a slot decided them.",
            {"": statistics.expired},
            is_counter=True,
        )
        yield duration_metric(
            "decided_age_seconds",
            "How long commands had waited here when a slot decided them.",
            statistics.decided_ages,
        )

    def _decisions(self) -> Iterable[Metric]:
        statistics = self._node_state.statistics
        yield Metric(
            "decisions",
            "Slots that this process has seen decided, by how: all, forfeited, by its own votes, "
            "and of these in the first phase.",
            {
                "all": statistics.decided,
                "forfeited": statistics.null,
                "by_votes": statistics.decided_by_votes,
                "first_phase": statistics.fast_path,
            },
            "how",
            is_counter=True,
        )
