"""The budget of retries, for each service.

What is bounded is arrivals at the origins, summed over all proxies; docs/design/retry-budget.md
states the bound and proves it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.proxy.origin.exchange import TCP_USER_TIMEOUT_MS

SMOOTHING_FACTOR = 0.1  # weight of the newest retry in the share of those that helped


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The budget of all proxies together.

    Attributes:
        retries_per_request: Retries for each first attempt.
        min_retries: Retries in a window besides, shared by all proxies.
        window_us: Length of the window, in µs.
        usable_fraction: The fraction of the budget that is ever used; the rest is for first
            attempts that are counted here and arrive in another window.
        max_delay_us: How long an attempt may be in transit before it is lost, in µs.
        min_helped_fraction: The fraction of what is usable that stays even if no retry helps, to
            notice when they do again; 1 for a budget that does not adapt.
    """

    retries_per_request: float = 0.2
    min_retries: float = 60
    window_us: int = 10 * SECOND
    usable_fraction: float = 0.8
    max_delay_us: int = TCP_USER_TIMEOUT_MS * MILLISECOND
    min_helped_fraction: float = 0.25


DEFAULT_SETTINGS = RetryBudgetSettings()


class RetryBudget:
    """Admits retries.

    Retries sent within any window + max_delay are at most `usable_fraction` *
    (`retries_per_request` * first attempts sent within the last window + `min_retries` / proxies).
    A proxy has its part of `min_retries` only once the window of its previous incarnation is over,
    with what that one sent last. An attempt is charged by the proxy that sends it to an origin: the
    first one as demand, each further one of the same request as a retry, also if the one before
    went through another proxy.

    The budget shrinks with the share of retries that helped: where a service rejects everything,
    more of them only add to its load.

    Args:
        proxy_count: Returns how many proxies share `min_retries`.
        started_at: When this incarnation started, by this process's clock, in µs.
        settings: The budget of all proxies.
    """

    def __init__(
        self,
        proxy_count: Callable[[], int],
        started_at: int,
        settings: RetryBudgetSettings = DEFAULT_SETTINGS,
    ) -> None:
        self.started_at = started_at
        self.proxy_count = proxy_count
        self.settings = settings
        # By service: when each attempt was sent, and the smoothed share of retries that helped.
        self.first_attempts: dict[str, deque[int]] = {}
        self.retries: dict[str, deque[int]] = {}
        self.helped_shares: dict[str, float] = {}

    def record_first_attempt(self, now: int, service_name: str = "") -> None:
        """Counts a first attempt."""
        self.first_attempts.setdefault(service_name, deque()).append(now)
        self._forget(now, service_name)

    def take_retry(self, now: int, service_name: str = "") -> bool:
        """Counts a retry, if there is one left."""
        if not self.has_retry_left(now, service_name):
            return False
        self.retries.setdefault(service_name, deque()).append(now)
        return True

    def record_retry_outcome(self, was_helpful: bool, service_name: str = "") -> None:
        """Records whether a retry got a response for its caller."""
        share = self.helped_shares.get(service_name, 1.0)
        self.helped_shares[service_name] = share + SMOOTHING_FACTOR * (was_helpful - share)

    def has_retry_left(self, now: int, service_name: str = "") -> bool:
        """Whether a retry is left now (µs)."""
        self._forget(now, service_name)
        settings = self.settings
        first_attempts = len(self.first_attempts.get(service_name, ()))
        budget = settings.retries_per_request * first_attempts + self._own_min_retries(now)
        helped_share = max(settings.min_helped_fraction, self.helped_shares.get(service_name, 1.0))
        retries = len(self.retries.get(service_name, ()))
        return retries + 1 <= settings.usable_fraction * helped_share * budget

    def _own_min_retries(self, now: int) -> float:
        """Returns this proxy's part of `min_retries`."""
        settings = self.settings
        if now - self.started_at < settings.window_us + settings.max_delay_us:
            return 0.0
        return settings.min_retries / max(1, self.proxy_count())

    def _forget(self, now: int, service_name: str) -> None:
        """Forgets attempts that no window has any more."""
        window = self.settings.window_us
        _drop_until(self.first_attempts.get(service_name), now - window)
        _drop_until(self.retries.get(service_name), now - window - self.settings.max_delay_us)


def _drop_until(moments: deque[int] | None, last: int) -> None:
    """Drops the moments up to and including `last`."""
    while moments and moments[0] <= last:
        moments.popleft()
