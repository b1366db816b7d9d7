"""Whether a response's body is kept in memory until it is complete."""

from willowpost.common.memory_pool import PooledMemory


class ResponseBuffering:
    """Takes memory for the body of one response while it comes.

    Args:
        max_bytes: The largest body that is buffered.
        memory: What it takes; None for memory without a bound.
    """

    __slots__ = ("_max_bytes", "_memory", "_taken")

    def __init__(self, max_bytes: int, memory: PooledMemory | None = None) -> None:
        self._max_bytes = max_bytes
        self._memory = memory or PooledMemory()
        self._taken = 0  # bytes, for this response

    def may_hold(self, size: int) -> bool:
        """Takes the memory for a body of so many bytes.

        Returns:
            False if it is too large or there is no memory: then the body is to be streamed.
        """
        missing = size - self._taken
        if size > self._max_bytes:
            return False
        if missing > 0:
            if not self._memory.take(missing):
                return False
            self._taken = size
        return True
