"""Paces large answers by the machine's link, so that small messages do not wait behind them.

Bytes that have been handed to the kernel wait in the link's queue in the order of their handing
over. On a thin link a few large answers fill it for a second or more, and what was decided before
the wait (a request to an origin, a poll of the core) arrives after it.
"""

import time
from collections.abc import Callable

import gevent

BITS = 8
MEGA = 1_000_000
LINK_PART = 0.92  # of the link's rate; the rest is for headers of packets and for small messages
QUEUE_SECONDS = 0.03  # what may wait in the link's queue on behalf of large answers
PIECE_SECONDS = 0.02  # a large answer is handed over in pieces that take so long on the link
PIECE_LEAST = 4096


class LinkPacer:
    """Hands over large answers no faster than the link sends; all take turns, a piece each.

    Args:
        megabits: The link's rate in Mbit/s; None if it is not known: nothing is paced.
        now: A clock in seconds.
        sleep: Waits for so many seconds.
    """

    def __init__(
        self,
        megabits: float | None = None,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self.rate = None if megabits is None else megabits * MEGA / BITS * LINK_PART
        self.now, self.sleep = now, sleep
        # when the link will have sent all that was handed over or promised
        self.free_at = 0.0

    @property
    def piece(self) -> int | None:
        """The size in bytes of the pieces of large answers; None: they go in one."""
        return None if self.rate is None else max(PIECE_LEAST, int(self.rate * PIECE_SECONDS))

    def count(self, size: int) -> None:
        """Counts bytes of a small answer; it does not wait."""
        if self.rate is not None:
            self.free_at = max(self.free_at, self.now()) + size / self.rate

    def wait(self, size: int) -> None:
        """Waits until a piece of a large answer may be handed over."""
        if self.rate is None:
            return
        now = self.now()
        waiting = max(0.0, self.free_at - now)
        self.free_at = now + waiting + size / self.rate
        if waiting > QUEUE_SECONDS:
            self.sleep(waiting - QUEUE_SECONDS)
