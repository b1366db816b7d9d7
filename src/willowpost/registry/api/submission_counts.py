"""What became of the operations that were submitted to the log for calls."""

from collections import Counter
from enum import Enum

from willowpost.common.duration_histogram import DurationHistogram

ACCEPTED_BOUNDS_MS = (5, 10, 20, 50, 100, 200, 300, 400, 600, 800, 1000, 2000, 4000)


class CallOutcome(Enum):
    """How a call that wanted an operation in the log ended."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    SUPERSEDED = "superseded"  # something newer was decided, so it never takes effect
    OUT_OF_TOUCH = "out_of_touch"  # not submitted
    UNKNOWN = "unknown"  # no outcome by the call's deadline


class SubmissionCounts:
    """Counts calls by outcome.

    Attributes:
        counts: Calls by outcome.
        accepted_after: From a call's arrival to its operation's acceptance by the log.
    """

    def __init__(self) -> None:
        self.counts: Counter[CallOutcome] = Counter(dict.fromkeys(CallOutcome, 0))
        self.accepted_after = DurationHistogram(ACCEPTED_BOUNDS_MS)

    def add(self, outcome: CallOutcome, duration: int) -> None:
        """Counts one call that ended so, `duration` µs after it came."""
        self.counts[outcome] += 1
        if outcome is CallOutcome.ACCEPTED:
            self.accepted_after.add(duration)
