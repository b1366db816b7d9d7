"""The memory that the bodies of calls take, with what is made of them.

A JSON document takes many times its length once it is parsed, so calls with large bodies wait for
each other, and a document whose values alone would take most of the process's memory is refused
before it is parsed.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from willowpost.common.errors import WillowpostError
from willowpost.common.memory_budget import MemoryBudget, MemoryClaim, MemoryExhaustedError
from willowpost.common.memory_pool import MemoryPool, PooledMemory
from willowpost.shell.memory_wait import grow_claim
from willowpost.shell.web import Environ, read_body

SMALL_BODY_BYTES = 64 * 1024
# What a call takes for each byte of its body: text, parsed values, and the operation made of them.
BYTES_PER_BODY_BYTE = 20
LARGE_CALLS_PART = 0.5  # of the process's memory
SMALL_CALLS_PART = 0.1
MAX_VALUES_PART = 0.7
MAX_WAITING_CALLS = 32
MAX_WAIT_SECONDS = 1.0
# What Python takes for the values of a JSON text, by the characters that begin or part them.
BYTES_PER_CHARACTER = {b"{": 232, b"[": 88, b",": 40, b'"': 30}


class TooManyValuesError(WillowpostError):
    """The values of a document would take more memory than there is."""


def estimated_value_bytes(document: bytes) -> int:
    """Returns about how much memory the values of a JSON document take, without parsing it."""
    return len(document) + sum(
        document.count(character) * size for character, size in BYTES_PER_CHARACTER.items()
    )


class CallMemory:
    """Divides memory among the calls that a process serves at a time.

    Args:
        process_bytes: What the process may have.

    Attributes:
        large_calls: Of calls with large bodies, which wait for each other.
        small_calls: Of all others.
    """

    def __init__(self, process_bytes: int) -> None:
        self.large_calls = MemoryBudget(int(process_bytes * LARGE_CALLS_PART), MAX_WAITING_CALLS)
        self.small_calls = MemoryPool(int(process_bytes * SMALL_CALLS_PART))
        self._max_value_bytes = int(process_bytes * MAX_VALUES_PART)

    @contextmanager
    def reading(self, environ: Environ, max_bytes: int) -> Iterator[bytes]:
        """Reads a call's body; its memory is taken before that and given back after the block.

        Args:
            environ: The call.
            max_bytes: The largest body.

        Raises:
            BodyTooLargeError: It is larger.
            EOFError: It ended short.
            MemoryExhaustedError: There was no memory for it in time; nothing of it was read.
            TooManyValuesError: Its values would take more memory than there is.
        """
        length = _announced_length(environ, max_bytes)
        memory = self._take(min(length, max_bytes))
        try:
            body = read_body(environ, max_bytes)
            if estimated_value_bytes(body) > self._max_value_bytes:
                raise TooManyValuesError
            yield body
        finally:
            memory.release()

    def _take(self, length: int) -> PooledMemory | MemoryClaim:
        size = length * BYTES_PER_BODY_BYTE
        if length <= SMALL_BODY_BYTES:
            memory = PooledMemory(self.small_calls)
            if not memory.take(size):
                raise MemoryExhaustedError("no memory left for small calls")
            return memory
        # one that would take more than all has all of it, alone
        size = min(size, self.large_calls.capacity)
        claim = self.large_calls.open(size)
        grow_claim(claim, size, MAX_WAIT_SECONDS)
        return claim


def _announced_length(environ: Environ, max_bytes: int) -> int:
    """Returns the length of a call's body, the largest possible one if it comes in chunks."""
    if environ.get("CONTENT_LENGTH"):
        return int(environ["CONTENT_LENGTH"])
    return max_bytes if environ.get("HTTP_TRANSFER_ENCODING") else 0
