"""The clocks of a machine, and units of time in whole microseconds (µs)."""

import time

SECOND = 1_000_000
MILLISECOND = 1_000


class Clock:
    """A monotonic clock, which includes suspends, and the wall clock."""

    def now(self) -> int:
        """Return the µs since the machine started; never goes back, and includes suspends."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000

    def wall(self) -> int:
        """Return the µs since 1970 (UTC); may jump."""
        return time.time_ns() // 1_000
