"""The requests that have left this proxy, and the invariants that hold for each of them.

Each violation is counted and logged with the request's id; docs/design/invariants.md lists them.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from willowpost.common.clock import MILLISECOND
from willowpost.common.duration_histogram import DurationHistogram
from willowpost.node.node_state import LEASE_US
from willowpost.proxy.routing.request import Request

# An exchange may take so long to end after its client has disconnected.
MAX_ORPHANED_US = 500 * MILLISECOND
# between the last lease check and this check, on a machine without a processor
LEASE_CHECK_SLACK_US = 100 * MILLISECOND
AGE_BOUNDS_MS = (100, 200, 300, 400, 600, 800, 1000, 1200, 1500, 2000, 3000, 5000, 10_000)


class Invariant(Enum):
    """What must hold for a request that leaves this proxy."""

    CALLER_WAITS = "a_caller_waits_when_it_is_sent"
    ENDS_WITH_CALLER = "ends_with_its_last_caller"
    RECEIVER_IN_FORCE = "its_receiver_is_in_force"
    TABLES_CURRENT = "its_tables_are_current"


class NodeView(Protocol):
    """The part of the proxy's shared state that is checked."""

    def tables_age(self, now: int) -> int | None:
        """Returns the µs since the tables were known to be complete."""

    def has_quorum_contact(self) -> bool:
        """Whether a quorum of the voters was in contact a moment ago."""


@dataclass(slots=True)
class OutgoingRequest:
    """A request that has been sent and has not ended.

    Attributes:
        request: The request.
        receiver: The origin or shield.
        is_once_only: Whether an origin may execute it only once, and so may finish it.
        is_reported: Whether it has been counted as going on without its client.
    """

    request: Request
    receiver: str
    is_once_only: bool
    is_reported: bool = False

    @property
    def is_orphaned(self) -> bool:
        """Whether nobody waits for it any more."""
        return self.request.lifetime.has_ended


class OutgoingRequests:
    """Follows requests from the last check before they are sent to their end.

    Args:
        node_state: The proxy's shared state.
        now: Returns this process's clock, in µs.
        log: Logs a line: component, event and fields; None for no log.

    Attributes:
        in_flight: The requests that have been sent and have not ended, by number.
        violations: How often each invariant was violated, by its name.
        ages: How old the tables were when requests were sent.
    """

    def __init__(
        self,
        node_state: NodeView,
        now: Callable[[], int],
        log: Callable[..., None] | None = None,
    ) -> None:
        self.node_state, self.now, self.log = node_state, now, log
        self.in_flight: dict[int, OutgoingRequest] = {}
        self.violations: Counter[str] = Counter({invariant.value: 0 for invariant in Invariant})
        self.ages = DurationHistogram(AGE_BOUNDS_MS)
        self._last_number = 0

    @contextmanager
    def sending(
        self, request: Request, receiver: str, once: bool, in_force: bool
    ) -> Iterator[None]:
        """Checks a request right before its first byte is sent, and follows it in the block."""
        self._check(request, receiver, in_force)
        self._last_number += 1
        number = self._last_number
        self.in_flight[number] = OutgoingRequest(request, receiver, once)
        try:
            yield
        finally:
            del self.in_flight[number]

    def check_orphaned(self) -> None:
        """Counts the exchanges that go on although nobody waits for them any more."""
        now = self.now()
        for outgoing in self.in_flight.values():
            disconnected_at = outgoing.request.lifetime.disconnected_at
            if (
                outgoing.is_orphaned
                and disconnected_at is not None
                and now - disconnected_at > MAX_ORPHANED_US
                and not outgoing.is_once_only
                and not outgoing.is_reported
            ):
                outgoing.is_reported = True
                self._record_violation(
                    Invariant.ENDS_WITH_CALLER,
                    outgoing.request,
                    outgoing.receiver,
                    now - disconnected_at,
                )

    def count_orphaned(self) -> int:
        """Returns how many requests are in flight for which nobody waits."""
        return sum(outgoing.is_orphaned for outgoing in self.in_flight.values())

    def _check(self, request: Request, receiver: str, in_force: bool) -> None:
        now = self.now()
        age = self.node_state.tables_age(now)
        if age is not None:
            self.ages.add(age)
        is_stale = age is None or age > LEASE_US + LEASE_CHECK_SLACK_US
        if is_stale and self.node_state.has_quorum_contact():
            self._record_violation(Invariant.TABLES_CURRENT, request, receiver, age or 0)
        if request.lifetime.has_ended:
            disconnected_at = request.lifetime.disconnected_at or now
            self._record_violation(Invariant.CALLER_WAITS, request, receiver, now - disconnected_at)
        if not in_force:
            self._record_violation(Invariant.RECEIVER_IN_FORCE, request, receiver, age or 0)

    def _record_violation(
        self, invariant: Invariant, request: Request, receiver: str, age: int
    ) -> None:
        self.violations[invariant.value] += 1
        if self.log is not None:
            self.log(
                "proxy",
                "invariant violated",
                level="error",
                invariant=invariant.value,
                request=request.request_id,
                receiver=receiver,
                age_ms=age // MILLISECOND,
            )
