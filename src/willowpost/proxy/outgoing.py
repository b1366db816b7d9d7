"""The requests that have left this proxy, and the invariants that hold for each of them.

Each violation is counted and logged with the request's id; docs/design/invariants.md lists them.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from willowpost.common.clock import MILLI
from willowpost.node.node_state import LEASE
from willowpost.proxy.routing.request import Request

# An exchange may take so long to end after its caller has left.
WITHOUT_CALLER_MOST = 500 * MILLI
LOOK_SLACK = 100 * MILLI  # between the last look and this check, on a machine without a processor
AGE_BOUNDS_MS = (100, 200, 300, 400, 600, 800, 1000, 1200, 1500, 2000, 3000, 5000, 10_000)


class Invariant(Enum):
    """What must hold for a request that leaves this proxy."""

    CALLER_WAITS = "a_caller_waits_when_it_is_sent"
    ENDS_WITH_CALLER = "ends_with_its_last_caller"
    RECEIVER_IN_FORCE = "its_receiver_is_in_force"
    TABLES_CURRENT = "its_tables_are_current"


class NodeView(Protocol):
    """What is looked at of the proxy's shared state."""

    def age(self, now: int) -> int | None:
        """The µs since the tables were known to be complete."""

    def has_quorum_contact(self, now: int) -> bool:
        """Whether a quorum of the voters was heard of a moment ago."""


@dataclass(slots=True)
class Outgoing:
    """A request that has left and has not ended.

    Attributes:
        request: The request.
        receiver: The origin or shield.
        once: Whether an origin may run it only once, and so may finish it.
        reported: Whether it has been counted as going on without its caller.
    """

    request: Request
    receiver: str
    once: bool
    reported: bool = False


class AgeHistogram:
    """How old the tables were when requests left; the buckets are `AGE_BOUNDS_MS`.

    Attributes:
        counts: Requests by bucket, the last one for all beyond the bounds.
        total: The sum of the ages, in µs.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(AGE_BOUNDS_MS) + 1)
        self.total = 0

    def add(self, age: int) -> None:
        """Counts one age, in µs."""
        self.counts[bisect_left(AGE_BOUNDS_MS, age / MILLI)] += 1
        self.total += age


class OutgoingRequests:
    """Follows requests from the last look before they are sent to their end.

    Args:
        node_state: The proxy's shared state.
        now: This process's clock, in µs.
        say: Logs a line: part, sentence and fields; None for no log.
    """

    def __init__(
        self,
        node_state: NodeView,
        now: Callable[[], int],
        say: Callable[..., None] | None = None,
    ) -> None:
        self.node_state, self.now, self.say = node_state, now, say
        self.under_way: dict[int, Outgoing] = {}
        self.violations: Counter[str] = Counter({held.value: 0 for held in Invariant})
        self.ages = AgeHistogram()
        self.number = 0

    @contextmanager
    def sending(
        self, request: Request, receiver: str, once: bool, in_force: bool
    ) -> Iterator[None]:
        """Checks a request right before its first byte leaves, and follows it in the block."""
        self._check(request, receiver, in_force)
        self.number += 1
        number = self.number
        self.under_way[number] = Outgoing(request, receiver, once)
        try:
            yield
        finally:
            del self.under_way[number]

    def look(self) -> None:
        """Counts the exchanges that go on although nobody waits for them any more."""
        now = self.now()
        for outgoing in self.under_way.values():
            left_at = outgoing.request.lifetime.left_at
            if (
                outgoing.request.lifetime.ended
                and left_at is not None
                and now - left_at > WITHOUT_CALLER_MOST
                and not outgoing.once
                and not outgoing.reported
            ):
                outgoing.reported = True
                self._violated(
                    Invariant.ENDS_WITH_CALLER, outgoing.request, outgoing.receiver, now - left_at
                )

    def without_caller(self) -> int:
        """How many requests are under way for which nobody waits."""
        return sum(held.request.lifetime.ended for held in self.under_way.values())

    def _check(self, request: Request, receiver: str, in_force: bool) -> None:
        now = self.now()
        age = self.node_state.age(now)
        if age is not None:
            self.ages.add(age)
        if (age is None or age > LEASE + LOOK_SLACK) and self.node_state.has_quorum_contact(now):
            self._violated(Invariant.TABLES_CURRENT, request, receiver, age or 0)
        if request.lifetime.ended:
            left_at = request.lifetime.left_at or now
            self._violated(Invariant.CALLER_WAITS, request, receiver, now - left_at)
        if not in_force:
            self._violated(Invariant.RECEIVER_IN_FORCE, request, receiver, age or 0)

    def _violated(self, invariant: Invariant, request: Request, receiver: str, age: int) -> None:
        self.violations[invariant.value] += 1
        if self.say is not None:
            self.say(
                "invariant",
                invariant.value,
                level="error",
                request=request.name,
                receiver=receiver,
                age_ms=age // MILLI,
            )
