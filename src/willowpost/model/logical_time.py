"""The model's clock: two moments, now and before, instead of microseconds.

Every process sees the same constant `NOW`. What passes is not the clock but the process's memory:
a timed tick first turns each time that the process holds into `BEFORE`, which is longer ago than
any timer of the controllers, so that afterwards all of them are due. A process's state thereby
holds no absolute time, and equal states reached at different moments are equal.
"""

from willowpost.common.clock import SECOND

# Longer than each timer of the controllers that the model drives, and a multiple of each.
TICK_SPAN = 60 * SECOND
# Whole microseconds, as the controllers count. What lies between `BEFORE` and it is a moment: far
# above every slot, counter and span, and too narrow a range to hold a question's number by chance.
NOW = 100_000_000 * TICK_SPAN
BEFORE = NOW - TICK_SPAN
# A timer that is never due: longer than the whole of the model's time.
NEVER = 1 << 60
WALL_CLOCK = 1


def is_time(number: int) -> bool:
    """Whether an integer found in a controller is a moment rather than a slot or counter."""
    return BEFORE <= number <= NOW


def aged(number: int) -> int:
    """The number after a timed tick: a moment becomes `BEFORE`, anything else stays."""
    return BEFORE if is_time(number) else number


def wall_clock() -> int:
    """The wall clock of every process stands still; stamps still rise by one each."""
    return WALL_CLOCK
