"""Requests that may run only once: each attempt goes to another origin, on a fresh connection."""

from willowpost.proxy.origin.errors import ExchangeError, FailureReason
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.routing.attempt import (
    NOT_RUN_STATUSES,
    RETRY_SOON_SECONDS,
    UNKNOWN_OUTCOME,
    RequestRejectedError,
)
from willowpost.proxy.routing.attempt_resources import MonotonicClock
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.headers import end_to_end
from willowpost.proxy.routing.outcome import Outcome, ResponseSource
from willowpost.proxy.routing.request import AtMostOncePlan, Request

# Before a caller repeats a request that may have run.
UNKNOWN_RETRY_SECONDS = 2


class AtMostOnceSender:
    """Sends a request until an origin may have run it, and never again after that.

    An outcome of not-run, or a status that means the same, is given only if the request has not run
    and never will.

    Args:
        clock: This process's clock.
        attempts: Makes single attempts.
    """

    def __init__(self, clock: MonotonicClock, attempts: Attempts) -> None:
        self.clock, self.attempts = clock, attempts

    def send(self, request: Request, plan: AtMostOncePlan, body: RequestBody) -> Outcome:
        """Returns the outcome of a request that may run only once.

        Raises:
            RequestRejectedError: With outcome unknown if an origin may have run it, else with
                not-run.
        """
        deadline = request.deadline(plan.route, self.clock.now())
        history, last_failure = request.history, None
        for attempt in range(plan.attempt_limit):
            if attempt and self.clock.now() >= deadline:
                break
            try:
                response = self.attempts.send_to_origin(request, plan, body, deadline, history)
                return self._outcome(response)
            except ExchangeError as failure:
                last_failure = failure
                if failure.may_have_executed:
                    raise _incomplete(failure) from failure
                if failure.reason is FailureReason.SERVICE:
                    break
        detail = last_failure.description if last_failure else "no try left"
        raise RequestRejectedError(503, f"no origin took it: {detail}", RETRY_SOON_SECONDS)

    def _outcome(self, response: OriginResponse) -> Outcome:
        if response.status in NOT_RUN_STATUSES:
            raise RequestRejectedError(
                502,
                f"the origin answered {response.status}, which promises what it does not say",
                UNKNOWN_RETRY_SECONDS,
                UNKNOWN_OUTCOME,
            )
        names = self.attempts.resources.header_names
        headers = [
            pair
            for pair in end_to_end(response.headers, names.all_names())
            if pair[0] not in (names.request_id, names.load)
        ]
        return Outcome(
            OriginResponse(response.status, headers, response.body, response.stream),
            ResponseSource.PASS,
        )


def _incomplete(failure: ExchangeError) -> RequestRejectedError:
    """Returns the rejection after a failure by which an origin may have run the request."""
    status = 504 if "deadline" in failure.description else 502
    reason = f"no whole answer: {failure.description}"
    return RequestRejectedError(status, reason, UNKNOWN_RETRY_SECONDS, UNKNOWN_OUTCOME)
