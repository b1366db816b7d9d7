"""Attempts that are sent to an origin: selected, charged, checked, and their outcome recorded."""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.proxy.origin.errors import ExchangeError, FailureReason
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.routing.attempt import AttemptHistory, RouteChangedError
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.attempt_times import AttemptKey
from willowpost.proxy.routing.headers import ForwardOptions, headers_to_origin
from willowpost.proxy.routing.origin_admission import (
    AdmittedOrigin,
    NoRetryLeftError,
    OriginAdmission,
)
from willowpost.proxy.routing.request import FetchPlan, ForwardPlan, Request
from willowpost.proxy.routing.response_check import ResponseCheck
from willowpost.proxy.routing.response_sizes import ResponseSizes
from willowpost.proxy.routing.sending import ForwardedRequest, Receiver, Sender

# How long an origin is ejected after a failure, in µs.
EJECTION_US_BY_REASON = {
    FailureReason.CONNECTION_FAILED: SECOND,
    FailureReason.INCARNATION: 5 * SECOND,
    FailureReason.BUSY: 100 * MILLISECOND,
    FailureReason.SERVICE: 0,
}
SERVER_ERROR_STATUS = 500  # RFC 9110, 15.6: this status and above
GATEWAY_TIMEOUT_STATUS = 504  # RFC 9110, 15.6.5


class OriginAttempts:
    """Sends requests to origins.

    A response comes from an origin that was in force when the request was sent. Each retry is
    charged once, by the proxy that sends it to an origin.

    Args:
        resources: State, clock, admission and connections.
        sender: Sends the requests.
        response_check: Judges the responses.
    """

    def __init__(
        self, resources: AttemptResources, sender: Sender, response_check: ResponseCheck
    ) -> None:
        self.resources, self.sender, self.response_check = resources, sender, response_check
        self.sizes = ResponseSizes()
        self.origin_admission = OriginAdmission(resources, self.sizes)

    def send(
        self,
        request: Request,
        plan: ForwardPlan,
        body: RequestBody,
        deadline: int,
        history: AttemptHistory,
    ) -> OriginResponse:
        """Selects an origin, is admitted to it and sends the request.

        Args:
            request: The request.
            plan: Its plan.
            body: The request's body.
            deadline: When to give up, by this process's clock, in µs.
            history: The attempts made so far; updated.

        Raises:
            ExchangeError: No valid response came, or the origin reported that it has not run the
                request.
            RequestRejectedError: No origin may be tried now, or the proxy has no lease any more.
            ClientDisconnected: Nobody waits for the response any more.
        """
        selected = self.origin_admission.select(plan, history)
        origin_name = selected.origin.name
        history.tried_origins.add(origin_name)
        history.is_retry, was_helpful = False, False
        started_at = self.resources.clock.now()
        ticket = self.resources.origin_selector.record_start(origin_name, started_at)
        try:
            forwarded = self._forwarded(request, plan, body, deadline, selected, started_at)
            response = self._exchange(selected, forwarded, history, started_at)
            was_helpful = response.status < SERVER_ERROR_STATUS
            if was_helpful or response.status == GATEWAY_TIMEOUT_STATUS:
                self._record_time(plan, started_at, is_answered=was_helpful)
            return response
        except RouteChangedError:
            history.tried_origins.discard(origin_name)  # it was sent nothing
            raise
        except ExchangeError as failure:
            self._record_failure(selected, failure)
            if failure.timed_out and failure.was_sent:
                self._record_time(plan, started_at, is_answered=False)
            raise
        finally:
            self.resources.origin_selector.record_end(origin_name, ticket)
            if history.is_retry:
                self.resources.retry_budget.record_retry_outcome(was_helpful, plan.service)

    def _exchange(
        self,
        selected: AdmittedOrigin,
        forwarded: ForwardedRequest,
        history: AttemptHistory,
        started_at: int,
    ) -> OriginResponse:
        """Sends the request; returns its response once that is known to be the origin's."""
        plan = forwarded.plan
        response = self.sender.send(
            self._receiver(selected), forwarded, lambda: self._charge(plan.service, history)
        )
        self._record_response(selected, response, started_at)
        self.response_check.check(response, selected.service)
        self.sizes.record(plan.route.name, len(response.body))
        return response

    def _forwarded(
        self,
        request: Request,
        plan: ForwardPlan,
        body: RequestBody,
        deadline: int,
        selected: AdmittedOrigin,
        now: int,
    ) -> ForwardedRequest:
        options = ForwardOptions(
            cached_entry=plan.cached_entry,
            remaining_us=None if request.timeout_us is None else deadline - now,
            incarnation=selected.origin.token if selected.service.checks_incarnation else None,
            fetches_complete=isinstance(plan, FetchPlan) and plan.fetches_complete,
        )
        headers = headers_to_origin(request, self.resources.header_names, options)
        return ForwardedRequest(request, plan, headers, body, deadline)

    def _receiver(self, selected: AdmittedOrigin) -> Receiver:
        origin, node_state = selected.origin, self.resources.node_state
        return Receiver(
            origin.name,
            origin.address,
            lambda: origin.name in node_state.snapshot.origins,
            selected.service,
            origin.instance_check,
            selected.max_connections,
        )

    def _charge(self, service_name: str, history: AttemptHistory) -> None:
        """Charges an attempt, just before its first byte is sent.

        Raises:
            NoRetryLeftError: It is a retry and the budget has none left.
        """
        resources, is_retry = self.resources, history.may_have_reached_origin
        if is_retry and not resources.retry_budget.take_retry(resources.clock.now(), service_name):
            raise NoRetryLeftError
        history.is_retry = is_retry
        resources.stats["tries"] += 1
        resources.stats["extras"] += is_retry
        if not is_retry:
            resources.retry_budget.record_first_attempt(resources.clock.now(), service_name)
        history.record_made(1)

    def _record_response(
        self, selected: AdmittedOrigin, response: OriginResponse, started_at: int
    ) -> None:
        now = self.resources.clock.now()
        load = response.header(self.resources.header_names.load)
        self.resources.origin_selector.record_response(
            selected.origin.name, now - started_at, load, now
        )

    def _record_time(self, plan: ForwardPlan, started_at: int, is_answered: bool) -> None:
        now = self.resources.clock.now()
        key = AttemptKey(plan.service, plan.route.name, is_through_shield=False)
        self.resources.times.record(key, now - started_at, is_answered, now)

    def _record_failure(self, selected: AdmittedOrigin, failure: ExchangeError) -> None:
        """Ejects the origin for a while, and lets it warm up if its process has ended."""
        now, origin_name = self.resources.clock.now(), selected.origin.name
        self.resources.origin_selector.eject(
            origin_name, now, EJECTION_US_BY_REASON[failure.reason]
        )
        is_unreachable = failure.timed_out and not failure.was_sent
        # The end of a named incarnation shows by 421, so a request that was sent does not count.
        has_ended = failure.is_process_gone and not (
            selected.service.checks_incarnation and failure.was_sent
        )
        if is_unreachable or has_ended:
            # The next process there warms up, which may be known here before it is in the log.
            self.resources.slow_start.suspect_restart(origin_name, now)
