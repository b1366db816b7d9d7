"""Whether this process did not run a moment ago: frozen, without a processor, or in a long step."""

import time
from collections.abc import Callable

STALL_SECONDS = 0.2
# for so long after a stall, what arrived meanwhile may still be unread
RECOVERY_SECONDS = 0.5


class StallDetector:
    """Detects that a task which should run all the time has not run.

    After a stall a client's request and the close behind it have both arrived, and the order in
    which tasks find them is arbitrary.

    Args:
        clock: A clock that goes on through a freeze, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_run_at: float | None = None
        self._recovering_until = 0.0

    def record_run(self) -> None:
        """Records that the watched task runs; to be called much more often than the limit."""
        self.has_stalled_recently()
        self._last_run_at = self._clock()

    def has_stalled_recently(self) -> bool:
        """Whether the process has just stalled; False before the first record_run()."""
        now = self._clock()
        if self._last_run_at is not None and now - self._last_run_at > STALL_SECONDS:
            self._recovering_until = now + RECOVERY_SECONDS
        return now < self._recovering_until
