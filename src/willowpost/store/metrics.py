"""The metrics of a store, as its metrics page states them."""

from collections.abc import Iterable

from willowpost.common.duration_histogram import DurationHistogram
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.shell.disk import Disk
from willowpost.shell.log_metrics import log_metrics
from willowpost.shell.metrics import HistogramMetric, Metric, duration_metric, gauge


class StoreMetrics:
    """Collects the metrics of one store.

    Args:
        node_state: The replica's state.
        disk: Its data folder.
        write_durations: How long writes to it took until they were synced.
    """

    def __init__(
        self, node_state: ReplicaState, disk: Disk, write_durations: DurationHistogram
    ) -> None:
        self._node_state, self._disk = node_state, disk
        self._write_durations = write_durations

    def __call__(self) -> Iterable[Metric | HistogramMetric]:
        """Yields the metrics as they are now."""
        node_state = self._node_state
        yield from log_metrics(node_state.tables)
        yield gauge("log_floor", "The first slot whose decision is kept.", node_state.log_floor)
        yield gauge("voter", "1 if it votes in the epoch in force.", float(node_state.is_voter))
        yield gauge("segment_bytes", "The newest segment's length.", self._disk.synced_bytes)
        yield from self._decisions()
        yield duration_metric(
            "disk_write_seconds",
            "How long writes took until they were synced, retries included.",
            self._write_durations,
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
