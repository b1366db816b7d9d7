"""How long attempts take, and so how long one may wait before another origin is tried.

A silent receiver must leave time for the next attempt; one that is at work must not be given up
before the time that its service takes as a rule, or nothing is served and each retry is waste.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from math import ceil

from willowpost.common.clock import SECOND

MAX_SAMPLES = 64  # of one key
MAX_SAMPLE_AGE_US = 30 * SECOND
MAX_KEYS = 4096
MIN_SAMPLES = 4  # with fewer of its own, a route goes by its service
HIGH_QUANTILE = 0.9
USUAL_QUANTILE = 0.5
MARGIN = 1.25  # over the high quantile
# An attempt that waited so many times longer than others take was silent, not slow.
SILENT_FACTOR = 4
NEVER_US = 1 << 60  # the time of a response that did not come


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """What attempts are compared by.

    Attributes:
        service: The service.
        route: The route's name; "" for all routes of the service.
        is_through_shield: Whether they pass a shield.
    """

    service: str
    route: str
    is_through_shield: bool


@dataclass(frozen=True, slots=True)
class TimeEstimate:
    """How long attempts take.

    Attributes:
        usual_us: The median.
        high_us: A time in which most are answered; NEVER_US or more if most are not.
    """

    usual_us: int
    high_us: int


@dataclass(frozen=True, slots=True)
class Sample:
    """One attempt.

    Attributes:
        at: When it ended, by this process's clock, in µs.
        duration_us: How long it took, or waited.
        is_answered: Whether a response came.
    """

    at: int
    duration_us: int
    is_answered: bool


class AttemptTimes:
    """The durations of attempts, by service and route, as far back as they say something."""

    def __init__(self) -> None:
        self._samples: OrderedDict[AttemptKey, deque[Sample]] = OrderedDict()

    def record(self, key: AttemptKey, duration_us: int, is_answered: bool, now: int) -> None:
        """Records an attempt that was answered, or was given up because it waited too long."""
        sample = Sample(now, duration_us, is_answered)
        for each in (key, _of_service(key)):
            samples = self._samples.setdefault(each, deque(maxlen=MAX_SAMPLES))
            samples.append(sample)
            self._samples.move_to_end(each)
        while len(self._samples) > MAX_KEYS:
            self._samples.popitem(last=False)

    def estimate(self, key: AttemptKey, now: int) -> TimeEstimate | None:
        """Returns how long attempts take; None if nothing is known."""
        samples = self._recent(key, now)
        if len(samples) < MIN_SAMPLES:
            samples = self._recent(_of_service(key), now)
        return _estimated(samples) if samples else None

    def _recent(self, key: AttemptKey, now: int) -> list[Sample]:
        samples = self._samples.get(key, deque())
        while samples and now - samples[0].at > MAX_SAMPLE_AGE_US:
            samples.popleft()
        return list(samples)


def attempt_time_us(remaining_us: int, share: float, estimate: TimeEstimate | None) -> int:
    """Returns how long an attempt may take that others may follow, in µs.

    Args:
        remaining_us: Until the request is given up.
        share: The part of it for an attempt of which nothing is known.
        estimate: How long attempts take, or None.
    """
    fair = int(remaining_us * share)
    if estimate is None:
        return fair
    needed = max(fair, int(estimate.high_us * MARGIN))
    # another attempt is made only if it can be answered
    return needed if remaining_us - needed >= estimate.usual_us else remaining_us


def _of_service(key: AttemptKey) -> AttemptKey:
    return AttemptKey(key.service, "", key.is_through_shield)


def _estimated(samples: list[Sample]) -> TimeEstimate:
    answered = sorted(sample.duration_us for sample in samples if sample.is_answered)
    longest = answered[-1] if answered else NEVER_US
    slow = [
        sample
        for sample in samples
        if not sample.is_answered and sample.duration_us < SILENT_FACTOR * longest
    ]
    times = answered + [NEVER_US] * len(slow)
    if not times:
        return TimeEstimate(NEVER_US, NEVER_US)
    return TimeEstimate(_quantile(times, USUAL_QUANTILE), _quantile(times, HIGH_QUANTILE))


def _quantile(ascending: list[int], part: float) -> int:
    return ascending[ceil(part * len(ascending)) - 1]
