"""Paces large responses by the machine's link, so that small messages do not wait behind them.

Bytes that have been handed to the kernel wait in the link's queue in the order of their handing
over. On a slow link a few large responses fill it for a second or more, and what was decided before
the wait (a request to an origin, a poll of the stores) arrives after it.
"""

import time
from collections.abc import Callable

import gevent

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
LINK_UTILIZATION = 0.92  # the rest is for headers of packets and for small messages
MAX_QUEUE_SECONDS = 0.03  # what may wait in the link's queue on behalf of large responses
CHUNK_SECONDS = 0.02  # a large response is written in chunks that take so long on the link
MIN_CHUNK_BYTES = 4096


class LinkPacer:
    """Writes large responses no faster than the link sends; all take turns, a chunk each.

    Args:
        megabits: The link's rate in Mbit/s; None if it is not known: nothing is paced.
        now: A clock in seconds.
        sleep: Waits for so many seconds.

    Attributes:
        bytes_per_second: The rate at which large responses are written; None: not paced.
        free_at: When the link will have sent all that was written or reserved, by the clock.
    """

    def __init__(
        self,
        megabits: float | None = None,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self.bytes_per_second = (
            None
            if megabits is None
            else megabits * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_UTILIZATION
        )
        self._now, self._sleep = now, sleep
        self.free_at = 0.0

    @property
    def piece(self) -> int | None:
        """The size in bytes of the chunks of large responses; None: they are written at once."""
        if self.bytes_per_second is None:
            return None
        return max(MIN_CHUNK_BYTES, int(self.bytes_per_second * CHUNK_SECONDS))

    def record(self, size: int) -> None:
        """Counts the bytes of a small response; it does not wait."""
        if self.bytes_per_second is not None:
            self.free_at = max(self.free_at, self._now()) + size / self.bytes_per_second

    def wait(self, size: int) -> None:
        """Waits until a chunk of so many bytes of a large response may be written."""
        if self.bytes_per_second is None:
            return
        now = self._now()
        queue_seconds = max(0.0, self.free_at - now)
        self.free_at = now + queue_seconds + size / self.bytes_per_second
        if queue_seconds > MAX_QUEUE_SECONDS:
            self._sleep(queue_seconds - MAX_QUEUE_SECONDS)
