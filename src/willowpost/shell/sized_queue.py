"""Queues between tasks that are bounded in items and in bytes."""

from gevent.queue import Queue

INBOX_MESSAGES_MOST = 16_384
INBOX_BYTES_MOST = 32 * 1024 * 1024


class SizedQueue:
    """A queue that drops what finds no room, as a network does; senders repeat it.

    An item larger than the whole queue is taken when nothing else of a size waits.

    Attributes:
        bytes: The size of all items offered and not yet taken out.
    """

    def __init__(self, items_most: int, bytes_most: int):
        self.items_most, self.bytes_most = items_most, bytes_most
        self.queue = Queue()
        self.bytes = 0

    def put(self, item) -> None:
        """Adds an item of this process itself, whatever the queue holds."""
        self.queue.put((item, 0))

    def offer(self, item, size: int) -> bool:
        """Adds an item of `size` bytes if there is room; returns False if it was dropped."""
        full = self.bytes > 0 and self.bytes + size > self.bytes_most
        if full or self.queue.qsize() >= self.items_most:
            return False
        self.bytes += size
        self.queue.put((item, size))
        return True

    def get(self, timeout: float | None = None):
        """Removes and returns the next item.

        Raises:
            gevent.queue.Empty: There was none for `timeout` seconds.
        """
        item, size = self.queue.get(timeout=timeout)
        self.bytes -= size
        return item

    def get_nowait(self):
        """Removes and returns the next item.

        Raises:
            gevent.queue.Empty: There is none.
        """
        item, size = self.queue.get_nowait()
        self.bytes -= size
        return item

    def qsize(self) -> int:
        """The number of items."""
        return self.queue.qsize()

    def empty(self) -> bool:
        """Whether there are no items."""
        return self.queue.empty()


def inbox() -> SizedQueue:
    """A queue for the events of a node.

    The task that steps the node takes nothing out while its disk stalls, and peers go on sending
    ballot states that contain whole configurations.
    """
    return SizedQueue(INBOX_MESSAGES_MOST, INBOX_BYTES_MOST)
