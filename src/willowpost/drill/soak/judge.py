"""The rules of a soak, judged by what callers and origins saw and by the proxies' own counts."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from willowpost.common.clock import SECOND
from willowpost.drill.rules import Findings
from willowpost.drill.soak.callers import KEPT, ONCE, CallerTally, Sent
from willowpost.drill.soak.fleet import GRACE_SECONDS, MAX_TRIES
from willowpost.drill.soak.uploads import UPLOAD_PATH
from willowpost.proxy.routing.attempt import NOT_RUN_STATUSES
from willowpost.stand_ins.http_call import OK

SENT_AFTER_LEAVING = SECOND // 2
MAX_SENT_LATE = 3  # a close crosses what is under way, the more on a busy machine
DRAINED_AFTER = 2 * SECOND
DOWN_SPAN = 15 * SECOND  # a request's longest time
# From the SIGTERM: what an origin still works on then may be given up, if it was sent early.
LAST_SIXTH_AFTER = int(GRACE_SECONDS * 5 / 6 * SECOND)
SENT_EARLY = 3 * SECOND
UPLOAD_END_CHARACTERS = 40  # of why one got no answer
STARVED_PART = 0.25  # of the share of all requests that are served


@dataclass(slots=True)
class OriginShutdown:
    """An origin that said that it leaves: from the acknowledgement to the end of that process."""

    address: str
    acknowledged_at: int
    ended_at: int


@dataclass(frozen=True, slots=True)
class OutOfTouch:
    """A time in which proxies may have been out of touch, in µs of the machine's clock.

    Attributes:
        began: When it began.
        ended: When it ended.
        edge: Address of the only proxy that it concerns; None: all.
    """

    began: int
    ended: int
    edge: str | None = None


@dataclass(slots=True)
class Record:
    """What happened to the fleet, in µs of the machine's clock.

    Attributes:
        leaves: Origins that left.
        killed: Edge's address -> (from, to) of each time in which it was killed or stood still.
        terminated: Edge's address -> when it got a SIGTERM.
        started: Edge's address -> when its process was started anew.
        out_of_touch: Each cut and freeze, and each trouble of the core; only proxies that serve on
            past their lease are excused by it.
    """

    leaves: list[OriginShutdown] = field(default_factory=list)
    killed: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    terminated: dict[str, list[int]] = field(default_factory=dict)
    started: dict[str, list[int]] = field(default_factory=dict)
    out_of_touch: list[OutOfTouch] = field(default_factory=list)

    def is_excused(self, at: int, span: int | None, edge: str | None) -> bool:
        """Whether a proxy may have been out of touch at `at`, or `span` before.

        Args:
            at: The moment.
            span: How long it is excused after its trouble; None: never.
            edge: Its address; None: which proxy it was is not known.
        """
        if span is None:
            return False
        return any(
            trouble.began <= at <= trouble.ended + span
            and (trouble.edge is None or edge is None or trouble.edge == edge)
            for trouble in self.out_of_touch
        )


class SoakRules:
    """Judges one soak.

    Args:
        tally: What the callers sent and got.
        ledger: What the origins saw.
        record: What happened to the fleet.
        excuse_span: µs after a trouble of the core or a cut in which old tables are excused; None:
            the proxies' lease bounds the age of their tables, so nothing is.
    """

    def __init__(
        self,
        tally: CallerTally,
        ledger: dict[str, Any],
        record: Record,
        excuse_span: int | None,
    ) -> None:
        self.tally, self.record, self.excuse_span = tally, record, excuse_span
        self.runs = ledger["writes"]
        self.arrivals = ledger["arrivals"]
        self.done = ledger["done"]

    def judge(self, findings: Findings) -> None:
        """Adds a row for each rule."""
        sent = self.tally.sent
        twice = [name for name, count in self.runs.items() if count > 1]
        findings.add_violations("no once-only request runs twice", f"{len(self.runs)} ran", twice)
        lied = [
            name
            for name, request in sent.items()
            if request.kind == ONCE and request.status in NOT_RUN_STATUSES and self.runs.get(name)
        ]
        findings.add_violations("what is told not-run has not run", f"{len(sent)} sent", lied)
        findings.add_violations("no answer is another's", "", self.tally.wrong)
        findings.add_violations("nothing is sent for a caller that left", *self._after_leaving())
        findings.add_violations("nothing reaches an origin that left", *self._after_drain())
        findings.add_violations("a request that was passed on is answered", *self._unanswered())
        findings.add_violations(
            "no request reaches more origins than its route allows", *self._over_tries()
        )
        findings.add("uploads are served", *self._uploads())

    def _after_leaving(self) -> tuple[str, list[str]]:
        left = [
            (name, request, request.left_at)
            for name, request in self.tally.sent.items()
            if request.left_at is not None
        ]
        late = [
            f"{name} to {address} {(at - left_at) / SECOND:.2f} s after"
            for name, request, left_at in left
            if request.kind != KEPT
            for address, at in self.arrivals.get(name, ())
            if at > left_at + SENT_AFTER_LEAVING
        ]
        return f"{len(left)} left, {len(late)} late,", late if len(late) > MAX_SENT_LATE else []

    def _after_drain(self) -> tuple[str, list[str]]:
        late = [
            f"{name} at {leave.address} {(at - leave.acknowledged_at) / SECOND:.2f} s after"
            for leave in self.record.leaves
            for name, arrivals in self.arrivals.items()
            for address, at in arrivals
            if address == leave.address
            and leave.acknowledged_at + DRAINED_AFTER < at < leave.ended_at
            and not self.record.is_excused(at, self.excuse_span, self._edge_of(name))
        ]
        return f"{len(self.record.leaves)} left,", late

    def _edge_of(self, name: str) -> str | None:
        request = self.tally.sent.get(name)
        return None if request is None else request.edge

    def _unanswered(self) -> tuple[str, list[str]]:
        """Requests that an origin had and whose connection the edge ended without a word."""
        lost = [
            f"{name} of {request.edge}: {request.ended}"
            for name, request in self.tally.sent.items()
            if request.ended
            and request.alone
            and not request.ended.startswith("not sent")
            and self.arrivals.get(name)
            and not self._was_down(request.edge, request.sent_at)
            and not self._may_be_given_up(name, request)
        ]
        answered = sum(request.status is not None for request in self.tally.sent.values())
        return f"{answered} answered,", lost

    def _over_tries(self) -> tuple[str, list[str]]:
        reached = {
            name: len({address for address, _ in arrivals})
            for name, arrivals in self.arrivals.items()
        }
        over = [f"{name} reached {count}" for name, count in reached.items() if count > MAX_TRIES]
        return f"{sum(count > 1 for count in reached.values())} reached several,", over

    def _uploads(self) -> tuple[str, bool]:
        """How uploads were answered, and whether they were served as other requests were."""
        statuses = Counter(
            request.status or request.ended[:UPLOAD_END_CHARACTERS]
            for request in self.tally.sent.values()
            if request.path.startswith(UPLOAD_PATH)
        )
        served = statuses[OK]
        all_served = sum(request.status == OK for request in self.tally.sent.values())
        expected = STARVED_PART * all_served / max(1, len(self.tally.sent)) * statuses.total()
        return (
            f"{served} of {statuses.total()} {dict(statuses)}",
            served >= expected,
        )

    def _may_be_given_up(self, name: str, request: Sent) -> bool:
        """Whether its origin worked on it into the last sixth of the grace of its edge's end."""
        done_at = self._done_at(name)
        return any(
            request.sent_at <= at + SENT_EARLY
            and (done_at is None or done_at >= at + LAST_SIXTH_AFTER)
            for at in self.record.terminated.get(request.edge, ())
            if request.sent_at >= at - DOWN_SPAN
        )

    def _done_at(self, name: str) -> int | None:
        """When its last origin was done with it; None if that origin was not.

        What an earlier attempt's origin went on with after it was given up says nothing of it.
        """
        done_at = self.done.get(name)
        last_arrival = max((at for _, at in self.arrivals.get(name, ())), default=0)
        return None if done_at is None or done_at < last_arrival else done_at

    def _was_down(self, edge: str, sent_at: int) -> bool:
        return any(
            end >= sent_at and begin <= sent_at + DOWN_SPAN
            for begin, end in self.record.killed.get(edge, ())
        )
