"""Queues between tasks that are bounded in items and in bytes."""

from typing import Any

from gevent.queue import Queue

MAX_INBOX_EVENTS = 16_384
MAX_INBOX_BYTES = 32 * 1024 * 1024


class SizedQueue:
    """A queue that drops what exceeds its bounds, as a network does; senders repeat it.

    An item larger than the queue's bound is taken when no other sized item waits.

    Attributes:
        size_bytes: the size of all items offered and not yet taken out.
    """

    def __init__(self, max_items: int, max_bytes: int) -> None:
        self.max_items, self.max_bytes = max_items, max_bytes
        self.size_bytes = 0
        self._items = Queue()  # of (item, size)

    def put(self, item: object) -> None:
        """Add an item of this process itself, whatever the bounds."""
        self._items.put((item, 0))

    def offer(self, item: Any, size: int) -> bool:
        """Add an item of `size` bytes if there is capacity; returns False if it was dropped."""
        is_full = self.size_bytes > 0 and self.size_bytes + size > self.max_bytes
        if is_full or self._items.qsize() >= self.max_items:
            return False
        self.size_bytes += size
        self._items.put((item, size))
        return True

    def get(self, timeout: float | None = None) -> Any:
        """Remove and return the next item.

        Args:
            timeout: seconds to wait; None: without limit.

        Raises:
            gevent.queue.Empty: there was none for `timeout` seconds.
        """
        item, size = self._items.get(timeout=timeout)
        self.size_bytes -= size
        return item

    def get_nowait(self) -> Any:
        """Remove and return the next item.

        Raises:
            gevent.queue.Empty: there is none.
        """
        item, size = self._items.get_nowait()
        self.size_bytes -= size
        return item

    def qsize(self) -> int:
        """Return the number of items."""
        return int(self._items.qsize())

    def empty(self) -> bool:
        """Whether there are no items."""
        return bool(self._items.empty())


def create_inbox() -> SizedQueue:
    """Return a queue for the events of a node.

    The task that steps the node takes nothing out while its disk stalls, and peers go on sending
    ballot states that contain configurations of many MB.
    """
    return SizedQueue(MAX_INBOX_EVENTS, MAX_INBOX_BYTES)
