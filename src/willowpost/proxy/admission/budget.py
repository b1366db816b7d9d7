"""The budget of extra tries, for each service.

By default, in any ten seconds: a fifth of this proxy's own first tries, and its part of sixty.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from willowpost.common.clock import SECOND


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The budget of all proxies together.

    Attributes:
        part: Extra tries for each first try.
        slack: Extra tries in a window besides, shared by all proxies.
        window: Length of the window, in µs.
    """

    part: float = 0.2
    slack: float = 60
    window: int = 10 * SECOND


DEFAULTS = BudgetSettings()


class RetryBudget:
    """Admits extra tries.

    Within any window they are at most part * first tries + slack / proxies; a proxy has its part of
    the slack only once the window of its former incarnation is over. A try is charged by the proxy
    that sends it to an origin: the first one as demand, each further one of the same request as
    extra, also if the one before went through another proxy.
    """

    def __init__(self, proxies: Callable[[], int], since: int, settings: BudgetSettings = DEFAULTS):
        self.since = since
        self.proxies = proxies  # () -> how many proxies share the slack
        self.settings = settings
        self.firsts: dict[str, deque[int]] = {}
        self.extras: dict[str, deque[int]] = {}

    def first(self, now: int, service: str = "") -> None:
        """Count a first try."""
        self.firsts.setdefault(service, deque()).append(now)
        self._forget(now, service)

    def let_in(self, now: int, service: str = "") -> bool:
        """Count an extra try, if there is one left."""
        if not self.left(now, service):
            return False
        self.extras.setdefault(service, deque()).append(now)
        return True

    def left(self, now: int, service: str = "") -> bool:
        """Whether an extra try is left now (µs)."""
        self._forget(now, service)
        slack = (
            self.settings.slack / max(1, self.proxies())
            if now - self.since >= self.settings.window
            else 0
        )
        return (
            len(self.extras.get(service, ())) + 1
            <= self.settings.part * len(self.firsts.get(service, ())) + slack
        )

    def _forget(self, now: int, service: str) -> None:
        for held in (self.firsts.get(service), self.extras.get(service)):
            while held and held[0] <= now - self.settings.window:
                held.popleft()
