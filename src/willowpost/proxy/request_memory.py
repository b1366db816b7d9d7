"""The memory that requests and responses may take in a proxy, and how it is divided.

Every part is bounded over all connections together (docs/design/memory.md), since peers decide how
much they send at once.
"""

from willowpost.common.memory_budget import MemoryBudget
from willowpost.common.memory_pool import MemoryPool, PooledMemory
from willowpost.shell.process_settings import DEFAULT_MEMORY_BYTES

# Parts of a process's memory. The rest is for the program itself, its tables and its cache.
LARGE_BODIES_PART = 0.44
SMALL_BODIES_PART = 0.05
READ_AHEAD_PART = 0.04
RESPONSES_PART = 0.08
SMALL_BODY_BYTES = 64 * 1024  # a body up to this never waits behind larger ones
# Each of them holds up to RECEIVE_BUFFER_BYTES in the kernel (shell/web_server.py).
MAX_WAITING_BODIES = 96


class RequestMemory:
    """The memory of requests and responses, by what it is for.

    Args:
        process_bytes: What the process may have.

    Attributes:
        small_bodies: Of requests' bodies up to SMALL_BODY_BYTES.
        large_bodies: Of larger ones, which may wait for each other.
        read_ahead: Of what clients send behind requests that are not answered yet.
        responses: Of responses that are buffered whole; others are streamed.
    """

    def __init__(self, process_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.process_bytes = process_bytes
        self.small_bodies = MemoryPool(int(process_bytes * SMALL_BODIES_PART))
        self.large_bodies = MemoryBudget(int(process_bytes * LARGE_BODIES_PART), MAX_WAITING_BODIES)
        self.read_ahead = MemoryPool(int(process_bytes * READ_AHEAD_PART))
        self.responses = MemoryPool(int(process_bytes * RESPONSES_PART))

    @property
    def largest_body_bytes(self) -> int:
        """The largest body that this process can hold, in bytes."""
        return self.large_bodies.capacity

    def for_read_ahead(self) -> PooledMemory:
        """Returns the memory of what one connection's client sends ahead."""
        return PooledMemory(self.read_ahead)

    def for_response(self) -> PooledMemory:
        """Returns the memory that the responses to one request take until it is answered."""
        return PooledMemory(self.responses)
