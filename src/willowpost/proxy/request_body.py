"""The body of a client's request, as it is kept until an origin has it."""

from collections.abc import Callable, Sequence
from typing import Protocol


class BodyClaim(Protocol):
    """The memory that a body takes; see `MemoryClaim`."""

    def offer(self, on_reclaimed: Callable[[], None]) -> None:
        """Offers the memory to whoever waits, now or later."""

    def withdraw(self) -> None:
        """Offers the memory no longer."""

    def release(self) -> None:
        """Gives the memory back."""


class RequestBody:
    """A complete body in blocks, which are sent as they are.

    Invariant: once its memory is given back it has no blocks, and is never sent again.

    Args:
        blocks: The body's bytes.
        claim: The memory that they take; None if nobody counts it.

    Attributes:
        length: In bytes.
        blocks: The bytes; none once they are given back.
        is_released: Whether they were given back.
    """

    __slots__ = ("_claim", "blocks", "is_released", "length")

    def __init__(
        self, blocks: Sequence[bytes | bytearray] = (), claim: BodyClaim | None = None
    ) -> None:
        self.blocks: tuple[bytes | bytearray, ...] = tuple(blocks)
        self.length = sum(map(len, self.blocks))
        self.is_released = False
        self._claim = claim

    def __len__(self) -> int:
        """The body's length in bytes."""
        return self.length

    def release(self) -> None:
        """Gives the memory back; may be called again."""
        if self._claim is not None:
            self.blocks, self.is_released = (), True
            self._claim.release()
            self._claim = None

    def offer(self) -> None:
        """Has the memory go to requests that wait for it, now or later.

        Called once the body is sent: it is kept for a further attempt only while nobody needs its
        memory for a first one.
        """
        if self._claim is not None:
            self._claim.offer(self.release)

    def retain(self) -> bool:
        """Keeps the body for an attempt; returns False if its memory was given back."""
        if self._claim is not None:
            self._claim.withdraw()
        return not self.is_released


NO_BODY = RequestBody()
