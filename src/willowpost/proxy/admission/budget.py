"""Extra tries: at most a fifth of our own first tries, and our part of sixty, in any ten seconds."""
from collections import deque

from willowpost.common.clock import SECOND

WINDOW = 10 * SECOND
PART = 0.2
FLOOR = 60


class RetryBudget:
    """Invariant: within any window of 10 s the extra tries let in are <= PART * first tries + FLOOR / proxies;
    a proxy has its part of the floor only once its former life's window is over.

    A try is charged by the proxy that sends it to an origin: a first one as demand, every further one of the same
    request as extra, also when the one before went by another hop."""

    def __init__(self, proxies, since: int):
        self.since = since
        self.proxies = proxies          # () -> how many proxies share the floor
        self.firsts: deque[int] = deque()
        self.extras: deque[int] = deque()

    def first(self, now: int) -> None:
        self.firsts.append(now)
        self._forget(now)

    def let_in(self, now: int) -> bool:
        if not self.left(now):
            return False
        self.extras.append(now)
        return True

    def left(self, now: int) -> bool:
        self._forget(now)
        floor = FLOOR / max(1, self.proxies()) if now - self.since >= WINDOW else 0
        return len(self.extras) + 1 <= PART * len(self.firsts) + floor

    def _forget(self, now):
        for held in (self.firsts, self.extras):
            while held and held[0] <= now - WINDOW:
                held.popleft()
