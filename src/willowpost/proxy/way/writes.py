"""Writes: each try to another origin, on a fresh connection, and none once a byte may have left."""
from willowpost.proxy.origin.breakdown import Breakdown
from willowpost.proxy.origin.exchange import WholeAnswer
from willowpost.proxy.way.headers import end_to_end
from willowpost.proxy.way.outcome import Outcome
from willowpost.proxy.way.tries import Shed, Trace, Tries


class Writes:
    """Invariant: a write leaves at most once; `not-run` is said only if it has not and never will."""

    def __init__(self, clock, tries: Tries):
        self.clock, self.tries = clock, tries

    def carry(self, request, plan, body: bytes) -> Outcome:
        deadline = self.clock.now() + plan.way.deadlineMs * 1000
        trace, last = Trace(), None
        for attempt in range(plan.tries):
            if attempt and self.clock.now() >= deadline:
                break
            try:
                answer = self.tries.origin(request, plan, body, deadline, trace)
                return Outcome(WholeAnswer(answer.status, end_to_end(answer.headers), answer.body, answer.rest), "pass")
            except Breakdown as breakdown:
                last = breakdown
                if breakdown.sent:
                    late = "deadline" in breakdown.what
                    raise Shed(504 if late else 502, f"no whole answer: {breakdown.what}", 2, "unknown")
        raise Shed(503, f"no origin took it: {last.what if last else 'no try left'}", 1, "not-run")
