"""Tasks that wait for memory of a budget."""

from gevent.event import Event

from willowpost.common.memory_budget import MemoryClaim, MemoryExhaustedError


def grow_claim(claim: MemoryClaim, size: int, timeout_seconds: float) -> None:
    """Waits until a claim is granted `size` further bytes.

    Args:
        claim: The claim.
        size: The bytes.
        timeout_seconds: How long to wait at most.

    Raises:
        MemoryExhaustedError: They were not granted in time, or too many wait already.
    """
    granted = Event()
    if claim.grow(size, granted.set):
        return
    try:
        granted.wait(timeout_seconds)
    finally:
        if not granted.is_set():
            claim.cancel()
    if not granted.is_set():
        raise MemoryExhaustedError("no memory left in time")
