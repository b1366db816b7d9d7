"""Arrivals of extra tries at one service, from many proxies, through refusals, cuts and restarts.

Each proxy has a real `RetryBudget`; callers, network and origins are simulated. Bytes that a cut
holds up arrive together when it heals, unless the sender has reset the connection by then. The
bound that is judged is the operator's: over each window, arrivals beyond the first of each request.
"""

import heapq
import random
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.proxy.admission.retry_budget import RetryBudget, RetryBudgetSettings

TRIES = 3  # at most, for one request
TRAVEL = 3 * MILLISECOND
RESTARTS = 0.0001  # for each request, of some proxy
PART, SLACK, WINDOW = 0.2, 60, 10 * SECOND  # what the operator allows


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens on one run.

    Attributes:
        proxies: How many there are.
        rate: Requests a second of all callers.
        span: How long it lasts, in µs.
        settings: The budget's settings.
        given_up_after: How long a try may wait for its answer, in µs.
        reset: Whether giving a try up resets its connection; else its bytes arrive whenever they
            can.
    """

    proxies: int = 10
    rate: float = 230.0
    span: int = 60 * SECOND
    settings: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    given_up_after: int = SECOND
    reset: bool = True


@dataclass(frozen=True, slots=True)
class WorstWindow:
    """The window that comes closest to what is allowed, or goes furthest beyond it."""

    at: int
    extras: int
    allowed: float

    @property
    def over(self) -> float:
        """How many extras were too many; negative if there was room."""
        return self.extras - self.allowed


class RetryArrivals:
    """One seeded run; `worst()` judges every sliding window of it."""

    def __init__(self, seed: int, scenario: Scenario):
        self.scenario, self.chance = scenario, random.Random(seed)
        settings = scenario.settings
        self.budgets = [
            RetryBudget(
                lambda: scenario.proxies, -settings.window_us - settings.max_delay_us, settings
            )
            for _ in range(scenario.proxies)
        ]
        self.requests: list[int] = []
        self.extras: list[int] = []  # arrival times
        # proxy -> [(from, to)] spans in which nothing of it reaches the origins
        self.cuts = {number: self._cuts() for number in range(scenario.proxies)}
        self.refusing = self._spans(3, 4 * SECOND, 40 * SECOND)
        self.surges = self._spans(2, 2 * SECOND, 8 * SECOND)

    def _spans(self, most, shortest, longest):
        begins = [
            self.chance.randrange(self.scenario.span)
            for _ in range(self.chance.randrange(1, most + 1))
        ]
        return [(begin, begin + self.chance.randrange(shortest, longest)) for begin in begins]

    def _cuts(self):
        return self._spans(2, 2 * SECOND, 10 * SECOND) if self.chance.random() < 0.5 else []

    def run(self) -> "RetryArrivals":
        """Plays the run."""
        now, ends, number = 0, self.scenario.span, 0
        # (when, number, proxy, whether it is a further try, tries left)
        due: list[tuple[int, int, int, bool, int]] = []
        while now < ends:
            surge = 3.0 if within(now, self.surges) else 1.0
            now += int(self.chance.expovariate(self.scenario.rate * surge) * SECOND)
            number += 1
            heapq.heappush(
                due, (now, number, self.chance.randrange(self.scenario.proxies), False, TRIES)
            )
            self.requests.append(now)
            while due and due[0][0] <= now:
                self._try(due, *heapq.heappop(due))
            if self.chance.random() < RESTARTS:
                self._restart(now)
        return self

    def _restart(self, now):
        """A process is killed; its next incarnation knows nothing of what it sent."""
        scenario, number = self.scenario, self.chance.randrange(self.scenario.proxies)
        self.budgets[number] = RetryBudget(lambda: scenario.proxies, now, scenario.settings)

    def _try(self, due, now, number, proxy, again, left):
        budget = self.budgets[proxy]
        if again and not budget.take_retry(now):
            return
        if not again:
            budget.record_first_attempt(now)
        answered_at, helped = self._send(now, proxy, again)
        if again:
            budget.record_retry_outcome(helped)
        if not helped and left > 1:
            heapq.heappush(due, (answered_at, number, proxy, True, left - 1))

    def _send(self, now, proxy, again):
        """Sends one try; when it is over, and whether it got an answer."""
        cut = next((span for span in self.cuts[proxy] if span[0] <= now < span[1]), None)
        given_up_at = now + self.scenario.given_up_after
        if cut is None:
            if again:
                self.extras.append(now + TRAVEL)
            return now + 2 * TRAVEL, not within(now, self.refusing)
        lost = self.scenario.reset and given_up_at < cut[1]
        if again and not lost:
            self.extras.append(cut[1] + TRAVEL)
        return given_up_at, False

    def worst(self) -> WorstWindow:
        """The worst of all windows of WINDOW, against the requests that the operator counts."""
        extras, requests = sorted(self.extras), Counts(self.requests)
        arrivals = Counts(extras)
        windows = (
            WorstWindow(at, arrivals.within(at - WINDOW, at), self._allowed(requests, at))
            for at in extras
        )
        return max(windows, key=lambda window: window.over, default=WorstWindow(0, 0, SLACK))

    def _allowed(self, requests, at):
        """By this window's requests, the one's before, or the one's half a window before."""
        most = max(
            requests.within(at - back - WINDOW, at - back) for back in (0, WINDOW // 2, WINDOW)
        )
        return PART * most + SLACK


class Counts:
    """Counts of moments in half-open spans (from, to]."""

    def __init__(self, moments: Iterable[int]):
        self.moments = sorted(moments)

    def within(self, since: int, until: int) -> int:
        """How many lie after `since`, up to `until`."""
        return bisect_right(self.moments, until) - bisect_right(self.moments, since)


def within(now: int, spans: list[tuple[int, int]]) -> bool:
    """Whether a moment lies in one of the spans."""
    return any(begin <= now < end for begin, end in spans)
