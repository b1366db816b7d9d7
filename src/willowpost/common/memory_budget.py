"""A number of bytes of memory that many claims share.

A claim may grow while it is held. Growth is granted only while all claims can still be completed,
one after the other (the banker's algorithm, E. W. Dijkstra, EWD 623), so claims that each hold a
part never wait for each other for good.
"""

from collections.abc import Callable

from willowpost.common.errors import WillowpostError


class MemoryExhaustedError(WillowpostError):
    """There is no memory for a claim now, and too much waits for it already."""


class MemoryClaim:
    """A part of a budget.

    Attributes:
        need: The most bytes that it will hold, as far as known.
        held: The bytes that it holds.
        requested: Further bytes that it waits for; 0 if it does not wait.
    """

    __slots__ = ("_budget", "_on_granted", "held", "need", "requested")

    def __init__(self, budget: "MemoryBudget", need: int) -> None:
        self._budget = budget
        self._on_granted: Callable[[], None] | None = None
        self.need = need
        self.held = self.requested = 0

    @property
    def is_wanted_by_others(self) -> bool:
        """Whether others wait for memory of the same budget."""
        return self._budget.has_waiting

    def grow(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Requests `size` further bytes.

        Returns:
            True if they are granted; False if the claim waits for them, and `on_granted` will be
            called.

        Raises:
            MemoryExhaustedError: Too many claims wait already.
        """
        self.requested, self._on_granted = size, on_granted
        return self._budget.admit(self)

    def cancel(self) -> None:
        """Waits no longer for further bytes."""
        self.requested = 0
        self._budget.forget_waiting(self)

    def settle(self, size: int) -> None:
        """Keeps `size` of the bytes that it holds, and will not grow any more."""
        self._budget.settle(self, size)

    def release(self) -> None:
        """Gives everything back; may be called again."""
        self._budget.release(self)

    def offer(self, on_reclaimed: Callable[[], None]) -> None:
        """Offers its memory to whoever waits, now or later.

        Args:
            on_reclaimed: Releases the claim; called when its memory is taken.
        """
        self._budget.offer(self, on_reclaimed)

    def withdraw(self) -> None:
        """Offers its memory no longer."""
        self._budget.withdraw(self)

    def receive(self) -> None:
        """Takes over the bytes that it waited for; called by the budget."""
        self.held += self.requested
        self.requested = 0
        if self._on_granted is not None:
            self._on_granted()


class MemoryBudget:
    """Divides bytes among claims.

    First requests are granted in the order of their arrival, and after those of claims that hold
    something already.

    Invariants: the claims hold at most `capacity` bytes together; those that hold something can all
    be completed, one after the other, with what is free and what the ones before give back.

    Args:
        capacity: Bytes to divide.
        max_waiting: How many claims may wait; further ones are refused.

    Attributes:
        used: Bytes that the claims hold together.
    """

    def __init__(self, capacity: int, max_waiting: int = 0) -> None:
        self.capacity, self.max_waiting = capacity, max_waiting
        self.used = 0
        self._unsettled: dict[MemoryClaim, None] = {}  # hold something and may still grow
        self._waiting: dict[MemoryClaim, None] = {}  # in the order of arrival
        self._offered: dict[MemoryClaim, Callable[[], None]] = {}  # the oldest first

    @property
    def has_waiting(self) -> bool:
        """Whether any claim waits."""
        return bool(self._waiting)

    @property
    def waiting(self) -> int:
        """How many claims wait."""
        return len(self._waiting)

    def open(self, need: int) -> MemoryClaim:
        """Returns a new claim that holds nothing yet.

        Args:
            need: The most bytes that it will hold.
        """
        return MemoryClaim(self, need)

    def admit(self, claim: MemoryClaim) -> bool:
        """Grants what a claim requests, or has it wait; returns whether it was granted.

        Raises:
            MemoryExhaustedError: Too many claims wait already.
        """
        must_queue = not claim.held and self.has_waiting
        if not must_queue and self._may_grant(claim):
            self._grant(claim)
            return True
        self._waiting[claim] = None
        self.serve_waiting()
        if claim in self._waiting and len(self._waiting) > self.max_waiting:
            del self._waiting[claim]
            claim.requested = 0
            raise MemoryExhaustedError("no memory left, and too many wait for it")
        return claim not in self._waiting

    def forget_waiting(self, claim: MemoryClaim) -> None:
        """Has a claim wait no longer."""
        if claim in self._waiting:
            del self._waiting[claim]
            self.serve_waiting()

    def settle(self, claim: MemoryClaim, size: int) -> None:
        """Takes back what a claim holds beyond `size`; it will not grow any more."""
        self.used -= claim.held - size
        claim.need = claim.held = size
        self._unsettled.pop(claim, None)
        self.serve_waiting()

    def release(self, claim: MemoryClaim) -> None:
        """Takes back all that a claim holds, and ends its waiting."""
        self._waiting.pop(claim, None)
        self._offered.pop(claim, None)
        self._unsettled.pop(claim, None)
        self.used -= claim.held
        claim.held = claim.requested = 0
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Grants what can be granted to those who wait, with what others offer if need be."""
        while self._waiting:
            claim = self._next_grantable()
            if claim is not None:
                del self._waiting[claim]
                self._grant(claim)
            elif self._offered:
                self._reclaim()
            else:
                return

    def offer(self, claim: MemoryClaim, on_reclaimed: Callable[[], None]) -> None:
        """Takes a claim's memory when others wait for it."""
        self._offered[claim] = on_reclaimed
        self.serve_waiting()

    def withdraw(self, claim: MemoryClaim) -> None:
        """Leaves a claim its memory, unless it was taken."""
        self._offered.pop(claim, None)

    def _reclaim(self) -> None:
        """Takes the memory of the claim that has offered it for longest."""
        claim = next(iter(self._offered))
        on_reclaimed = self._offered.pop(claim)
        on_reclaimed()

    def _next_grantable(self) -> MemoryClaim | None:
        """Returns the next claim to be served, or None."""
        growing = [claim for claim in self._waiting if claim.held]
        if growing:
            return next(filter(self._may_grant, growing), None)
        first = next(iter(self._waiting), None)
        return first if first is not None and self._may_grant(first) else None

    def _grant(self, claim: MemoryClaim) -> None:
        self.used += claim.requested
        claim.receive()
        self._unsettled[claim] = None
        if claim.held >= claim.need:
            del self._unsettled[claim]

    def _may_grant(self, claim: MemoryClaim) -> bool:
        """Whether all claims can be completed one after the other if this one is granted."""
        if self.used + claim.requested > self.capacity:
            return False
        holdings = [(other.need - other.held, other.held) for other in self._unsettled]
        if claim.held:
            holdings.remove((claim.need - claim.held, claim.held))
        held = claim.held + claim.requested
        holdings.append((claim.need - held, held))
        # all others are complete: what they hold comes back whatever happens
        available = self.capacity - sum(held for _, held in holdings)
        for missing, held in sorted(holdings):
            if missing > available:
                return False
            available += held
        return True
