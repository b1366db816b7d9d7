"""Times are whole microseconds. `now` counts freezes and suspends; `wall` may jump."""

import time

SECOND = 1_000_000
MILLI = 1_000


class Clock:
    """Invariant: now() never runs backward and goes on while the process is frozen."""

    def now(self) -> int:
        """Microseconds since the machine started, suspends included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000

    def wall(self) -> int:
        """Microseconds since 1970; may jump."""
        return time.time_ns() // 1_000
