"""A number of bytes of memory that is had at once or not at all."""

from collections.abc import Callable


class MemoryPool:
    """Bytes for which nobody waits: they are had at once or not at all.

    Args:
        capacity: Bytes to divide.

    Attributes:
        used: Bytes that are taken.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0

    def has(self, size: int) -> bool:
        """Whether `size` bytes are free."""
        return self.used + size <= self.capacity


class PooledMemory:
    """What one owner takes of a pool.

    Args:
        pool: The pool; None for memory without a bound.

    Attributes:
        held: The bytes that it holds.
    """

    __slots__ = ("_pool", "held")

    is_wanted_by_others = False

    def __init__(self, pool: MemoryPool | None = None) -> None:
        self._pool = pool
        self.held = 0

    def take(self, size: int) -> bool:
        """Takes `size` further bytes; returns False, with nothing taken, if they are not free."""
        if self._pool is not None:
            if not self._pool.has(size):
                return False
            self._pool.used += size
        self.held += size
        return True

    def offer(self, on_reclaimed: Callable[[], None]) -> None:
        """Does nothing: nobody waits for memory of a pool."""

    def withdraw(self) -> None:
        """Does nothing, as `offer`."""

    def settle(self, size: int) -> None:
        """Keeps `size` of the bytes that it holds, and gives the others back."""
        if self._pool is not None:
            self._pool.used -= self.held - size
        self.held = size

    def release(self) -> None:
        """Gives everything back; may be called again."""
        if self._pool is not None:
            self._pool.used -= self.held
        self.held = 0
