"""The budget of extra tries, for each service.

What is bounded is arrivals at the origins, summed over all proxies; docs/design/retry-budget.md
states the bound and proves it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from willowpost.common.clock import MILLI, SECOND
from willowpost.proxy.origin.exchange import UNACKNOWLEDGED_MOST_MS

HELPED_SMOOTH = 0.1  # weight of the newest extra try in the share of those that helped


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The budget of all proxies together.

    Attributes:
        part: Extra tries for each first try.
        slack: Extra tries in a window besides, shared by all proxies.
        window: Length of the window, in µs.
        used: The part of this allowance that is ever used; the rest is for first tries that are
            counted here and arrive in another window.
        delay: How long a try may be on its way before it is lost, in µs.
        helped_least: The part of what is used that stays even if no extra try helps, to notice when
            they do again; 1 for an allowance that does not adapt.
    """

    part: float = 0.2
    slack: float = 60
    window: int = 10 * SECOND
    used: float = 0.8
    delay: int = UNACKNOWLEDGED_MOST_MS * MILLI
    helped_least: float = 0.25


DEFAULTS = BudgetSettings()


class RetryBudget:
    """Admits extra tries.

    Extra tries sent within any window + delay are at most `used` * (part * first tries sent within
    the last window + slack / proxies). A proxy has its part of the slack only once the window of
    its former incarnation is over, with what that one sent last. A try is charged by the proxy that
    sends it to an origin: the first one as demand, each further one of the same request as extra,
    also if the one before went through another proxy.

    The allowance shrinks with the share of extra tries that helped: where a service refuses
    everything, more of them only add to its load.
    """

    def __init__(self, proxies: Callable[[], int], since: int, settings: BudgetSettings = DEFAULTS):
        self.since = since
        self.proxies = proxies  # () -> how many proxies share the slack
        self.settings = settings
        self.firsts: dict[str, deque[int]] = {}
        self.extras: dict[str, deque[int]] = {}
        self.helped: dict[str, float] = {}  # service -> smoothed share of extra tries that helped

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

    def ended(self, helped: bool, service: str = "") -> None:
        """Note whether an extra try got an answer for its caller."""
        held = self.helped.get(service, 1.0)
        self.helped[service] = held + HELPED_SMOOTH * (helped - held)

    def left(self, now: int, service: str = "") -> bool:
        """Whether an extra try is left now (µs)."""
        self._forget(now, service)
        settings = self.settings
        slack = (
            settings.slack / max(1, self.proxies())
            if now - self.since >= settings.window + settings.delay
            else 0
        )
        allowance = settings.part * len(self.firsts.get(service, ())) + slack
        helped = max(settings.helped_least, self.helped.get(service, 1.0))
        return len(self.extras.get(service, ())) + 1 <= settings.used * helped * allowance

    def _forget(self, now: int, service: str) -> None:
        window = self.settings.window
        for held, span in (
            (self.firsts.get(service), window),
            (self.extras.get(service), window + self.settings.delay),
        ):
            while held and held[0] <= now - span:
                held.popleft()
