"""A histogram of durations with fixed bounds."""

from bisect import bisect_left
from collections.abc import Sequence

from willowpost.common.clock import MILLISECOND


class DurationHistogram:
    """Counts durations by bucket.

    Args:
        bounds_ms: The buckets' upper bounds, in ms, ascending.

    Attributes:
        bounds_ms: As given.
        counts: Durations by bucket, the last one for all beyond the bounds.
        total: The sum of the durations, in µs.
    """

    def __init__(self, bounds_ms: Sequence[int]) -> None:
        self.bounds_ms = tuple(bounds_ms)
        self.counts = [0] * (len(self.bounds_ms) + 1)
        self.total = 0

    def add(self, duration: int) -> None:
        """Counts one duration, in µs."""
        self.counts[bisect_left(self.bounds_ms, duration / MILLISECOND)] += 1
        self.total += duration
