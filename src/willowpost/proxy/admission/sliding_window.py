"""A sliding window over a rate that changes."""

from collections import deque
from dataclasses import dataclass
from itertools import takewhile

from willowpost.common.clock import SECOND
from willowpost.proxy.admission.quota import QUOTA_WINDOW_SECONDS

WINDOW_US = int(QUOTA_WINDOW_SECONDS * SECOND)
MAX_BURST_FACTOR = 1.25  # of the rate, in a second in which bursts are not allowed
# Of the quota: a tenth over it is tolerated in a window, and requests in flight are a part of that.
MAX_USE_FACTOR = 1.08


@dataclass(frozen=True, slots=True)
class RateSpan:
    """A span in which one rate was in force.

    Attributes:
        start: In µs.
        end: In µs.
        rate: Requests a second.
    """

    start: int
    end: int
    rate: float

    def accrued_since(self, moment: int) -> float:
        """Returns the rate times the µs of the span after `moment`."""
        return (self.end - max(self.start, moment)) * self.rate


class SlidingWindow:
    """A sliding window over a rate that changes.

    In any window it admits at most MAX_USE_FACTOR times what the rates over that span amount to;
    what was not used may be used later in the same window. Between two calls the lesser of their
    rates counts, so that a quota share which has just arrived adds nothing that its previous owner
    may have used.

    Args:
        since: Since when `rate` has been unused, in µs.
        rate: Requests a second.
    """

    def __init__(self, since: int, rate: float) -> None:
        self.spans: deque[RateSpan] = deque([RateSpan(since, since, rate)])  # oldest first
        self.admitted_at: deque[int] = deque()

    def take(self, rate: float, now: int, is_burst_limited: bool = False) -> bool:
        """Admits one request, if the window has capacity for it.

        Args:
            rate: Requests a second from now on.
            now: This process's clock, in µs.
            is_burst_limited: Whether unused quota may not be spent in a burst: any second then has
                at most MAX_BURST_FACTOR times the rate.
        """
        self._extend(rate, now)
        window_start = now - WINDOW_US
        self._forget_before(window_start)
        accrued = sum(span.accrued_since(window_start) for span in self.spans) / SECOND
        if len(self.admitted_at) + 1 > MAX_USE_FACTOR * accrued:
            return False
        if is_burst_limited and self._admitted_in_last_second(now) + 1 > max(
            1.0, MAX_BURST_FACTOR * rate
        ):
            return False
        self.admitted_at.append(now)
        return True

    def _extend(self, rate: float, now: int) -> None:
        """Extends the spans to now; the lesser rate counts since the last call."""
        last = self.spans[-1]
        if rate < last.rate:
            self.spans.append(RateSpan(last.end, now, rate))
            return
        self.spans[-1] = RateSpan(last.start, now, last.rate)
        if rate > last.rate:
            self.spans.append(RateSpan(now, now, rate))

    def _forget_before(self, window_start: int) -> None:
        while self.spans[0].end < window_start:
            self.spans.popleft()
        while self.admitted_at and self.admitted_at[0] <= window_start:
            self.admitted_at.popleft()

    def _admitted_in_last_second(self, now: int) -> int:
        return sum(1 for _ in takewhile(lambda at: at > now - SECOND, reversed(self.admitted_at)))
