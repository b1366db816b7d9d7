"""Whether this process stood still a moment ago: frozen, without a processor, or in a long step."""

import time
from collections.abc import Callable

STANDSTILL_SECONDS = 0.2
# For so long after it, what arrived meanwhile may still be unread.
WARY_SECONDS = 0.5


class StandstillWatch:
    """Notices that a task which should run all the time has not run.

    After a standstill a caller's request and the close behind it have both arrived, and the order
    in which tasks find them is arbitrary.

    Args:
        clock: A clock that goes on through a freeze, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.ran_at: float | None = None
        self.wary_until = 0.0

    def ran(self) -> None:
        """Notes that the watched task runs; to be called much more often than the limit."""
        self.recently()
        self.ran_at = self.clock()

    def recently(self) -> bool:
        """Whether the process has just stood still; False before the first ran()."""
        now = self.clock()
        if self.ran_at is not None and now - self.ran_at > STANDSTILL_SECONDS:
            self.wary_until = now + WARY_SECONDS
        return now < self.wary_until
