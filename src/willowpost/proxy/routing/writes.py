"""Requests that may run only once: each try goes to another origin, on a fresh connection."""

from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure, Why
from willowpost.proxy.routing.attempt import NOT_RUN, SOON, Rejected, Trace
from willowpost.proxy.routing.headers import end_to_end
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.tries import Tries


class Writes:
    """Sends a request until an origin may have run it, and never again after that.

    An outcome of not-run, or a status that means the same, is given only if the request has not run
    and never will.
    """

    def __init__(self, clock, tries: Tries):
        self.clock, self.tries = clock, tries

    def carry(self, request, plan, body: bytes) -> Outcome:
        """The outcome of a request that may run only once.

        Raises:
            Rejected: With outcome unknown if an origin may have run it, else with not-run.
        """
        deadline = request.deadline(plan.route, self.clock.now())
        trace, last = Trace(), None
        for attempt in range(plan.tries):
            if attempt and self.clock.now() >= deadline:
                break
            try:
                return self._settled(self.tries.origin(request, plan, body, deadline, trace))
            except ExchangeFailure as failure:
                last = failure
                if failure.ran:
                    late = "deadline" in failure.what
                    raise Rejected(
                        504 if late else 502, f"no whole answer: {failure.what}", 2, "unknown"
                    )
                if failure.why is Why.SERVICE:
                    break
        raise Rejected(
            503, f"no origin took it: {last.what if last else 'no try left'}", SOON, "not-run"
        )

    def _settled(self, answer):
        if answer.status in NOT_RUN:
            raise Rejected(
                502,
                f"the origin answered {answer.status}, which promises what it does not say",
                2,
                "unknown",
            )
        words = self.tries.words
        headers = [
            pair
            for pair in end_to_end(answer.headers, words.names())
            if pair[0] not in (words.request, words.load)
        ]
        return Outcome(WholeAnswer(answer.status, headers, answer.body, answer.rest), "pass")
