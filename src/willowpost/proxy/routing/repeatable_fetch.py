"""The fetch of one repeatable request: failed attempts are retried within the budget."""

from willowpost.proxy.origin.errors import ExchangeError, FailureReason
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.routing.attempt import (
    NOT_RUN_OUTCOME,
    RETRY_SOON_SECONDS,
    UNKNOWN_OUTCOME,
    RequestRejectedError,
)
from willowpost.proxy.routing.attempt_times import AttemptKey, attempt_time_us
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.outcome import FetchResult
from willowpost.proxy.routing.request import FetchPlan, Request
from willowpost.proxy.routing.response_processing import (
    ResponseProcessor,
    is_unrequested_not_modified,
)
from willowpost.proxy.routing.shield_attempts import Shield

# Statuses after which another origin is tried: on a route without a kind, and on one with a kind.
RETRIED_STATUSES = (502, 503, 504)
RETRIED_STATUSES_OF_KIND = range(500, 600)
# The share of the remaining time that an attempt through a shield may take.
SHIELD_TIME_SHARE = 0.6


class RepeatableFetch:
    """One fetch: attempts through shields and at origins, until one gives a final response.

    Args:
        request: The request.
        plan: Its plan.
        body: The request's body.
        attempts: Makes single attempts.
        processor: Turns the response into an outcome.
    """

    def __init__(
        self,
        request: Request,
        plan: FetchPlan,
        body: RequestBody,
        attempts: Attempts,
        processor: ResponseProcessor,
    ) -> None:
        self.request, self.plan, self.body = request, plan, body
        self.attempts, self.processor = attempts, processor
        self.clock = attempts.resources.clock
        self.started_at = self.clock.now()
        self.deadline = request.deadline(plan.route, self.started_at)
        self.history = request.history
        self.history.may_have_reached_origin |= request.may_have_reached_origin
        self.remaining_shields = [Shield(name, address) for name, address in plan.shields]
        self.remaining_rounds = plan.attempt_limit
        self.last_failure: ExchangeError | None = None
        self.last_error_response: OriginResponse | None = None
        self.may_have_run = False
        self.is_over = False

    def run(self) -> FetchResult:
        """Makes attempts until one gives a final response.

        Raises:
            RequestRejectedError: No attempt gave a response in time, or none could be made.
        """
        while self.remaining_rounds and self.remaining_attempts > 0 and not self.is_over:
            now = self.clock.now()
            if self.remaining_rounds < self.plan.attempt_limit and now >= self.deadline:
                break
            response = self._attempt(now)
            if response is not None:
                return self._result(response)
        if self.last_error_response is not None:
            return self._result(self.last_error_response)
        raise self._rejection()

    @property
    def remaining_attempts(self) -> int:
        """How many attempts at origins are left, those through shields counted."""
        return self.plan.attempt_limit - self.history.made

    def _result(self, response: OriginResponse) -> FetchResult:
        return self.processor.process(self.request, self.plan, response, self.started_at)

    def _attempt(self, now: int) -> OriginResponse | None:
        """Makes one attempt; returns its response if it is final."""
        selector = self.attempts.resources.origin_selector
        self.remaining_shields.sort(key=lambda shield: selector.is_avoided(shield.name, now))
        attempt_deadline = self._attempt_deadline(now)
        is_through_shield = bool(self.remaining_shields)
        self.remaining_rounds -= 1
        try:
            response = self._send(attempt_deadline)
        except ExchangeError as failure:
            self._record_failure(failure, is_through_shield)
            return None
        except RequestRejectedError:
            if self.last_failure is None and self.last_error_response is None:
                raise
            # No further attempt can be made: the result of the last one is final.
            self.is_over = True
            return None
        return response if self._is_final(response, is_through_shield) else None

    def _attempt_deadline(self, now: int) -> int:
        """Returns when to give the next attempt up, by this process's clock, in µs.

        A silent receiver must leave time for the next one, and a shield for one of its own.
        """
        attempts_after = min(self.remaining_rounds, self.remaining_attempts) - 1
        if not attempts_after:
            return self.deadline
        is_through_shield = bool(self.remaining_shields)
        share = SHIELD_TIME_SHARE if is_through_shield else 1 / (attempts_after + 1)
        key = AttemptKey(self.plan.service, self.plan.route.name, is_through_shield)
        estimate = self.attempts.resources.times.estimate(key, now)
        return now + attempt_time_us(self.deadline - now, share, estimate)

    def _send(self, deadline: int) -> OriginResponse:
        if self.remaining_shields:
            shield = self.remaining_shields.pop(0)
            return self.attempts.send_to_shield(
                self.request, self.plan, shield, deadline, self.history, self._allowed_to_shield()
            )
        return self.attempts.send_to_origin(
            self.request, self.plan, self.body, deadline, self.history
        )

    def _allowed_to_shield(self) -> int:
        """Returns how many attempts a shield may make.

        One is kept back, if there are several: a shield that falls silent may have used all that it
        was allowed.
        """
        return max(1, self.remaining_attempts - 1)

    def _record_failure(self, failure: ExchangeError, is_through_shield: bool) -> None:
        self.last_failure = failure
        self.may_have_run = self.may_have_run or failure.may_have_executed
        if failure.reason is FailureReason.SERVICE:
            self.is_over = True
        elif is_through_shield and not failure.was_sent:
            # No origin can have seen it, so the attempt does not count.
            self.remaining_rounds += 1

    def _is_final(self, response: OriginResponse, is_through_shield: bool) -> bool:
        """Whether the response may be the caller's; records it if not."""
        if is_through_shield and self.processor.is_outdated(self.request, self.plan, response):
            self.last_failure = ExchangeError("a shield's copy that is too old", was_sent=True)
            return False
        if is_unrequested_not_modified(response, self.request, self.plan):
            self.last_failure = ExchangeError("a 304 that was not asked for", was_sent=True)
            self.may_have_run = True
            return False
        has_kind = self.plan.route.kind is not None
        retried = RETRIED_STATUSES_OF_KIND if has_kind else RETRIED_STATUSES
        if response.status in retried and response.stream is None:
            self.last_error_response, self.may_have_run = response, True
            return False
        return True

    def _rejection(self) -> RequestRejectedError:
        """Returns the rejection after the last attempt."""
        failure = self.last_failure
        if failure is not None and not self.may_have_run and self.plan.route.kind is not None:
            return RequestRejectedError(
                503, f"no origin took it: {failure.description}", RETRY_SOON_SECONDS
            )
        is_late = failure is not None and "deadline" in failure.description
        return RequestRejectedError(
            504 if is_late or self.clock.now() >= self.deadline else 502,
            f"no whole answer: {failure.description if failure else 'no try left'}",
            1,
            NOT_RUN_OUTCOME if self.request.is_safe else UNKNOWN_OUTCOME,
        )
