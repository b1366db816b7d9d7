"""Carries out the plan of a request."""

from collections import Counter
from dataclasses import replace

from willowpost.proxy.cache.ranges import RangeResponder
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.request_body import NO_BODY, RequestBody
from willowpost.proxy.routing.at_most_once import AtMostOnceSender
from willowpost.proxy.routing.attempt import LeaseExpiredError, RequestRejectedError
from willowpost.proxy.routing.attempt_resources import MonotonicClock
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.collapsed_fetches import CollapsedFetches
from willowpost.proxy.routing.outcome import Outcome, ResponseSource, cached_outcome
from willowpost.proxy.routing.request import (
    AtMostOncePlan,
    ByteRange,
    CachePlan,
    FetchPlan,
    RejectPlan,
    Request,
    RequestPlan,
)

COMPLETE_STATUS = 200


class PlanExecutor:
    """Carries out plans; a stored response is sent only under a lease that is valid at that moment.

    Args:
        node_state: The proxy's shared state.
        cache: The stored responses.
        clock: This process's clock.
        attempts: Makes single attempts.
        stats: Counters by name.
    """

    def __init__(
        self,
        node_state: ProxyState,
        cache: CacheStore,
        clock: MonotonicClock,
        attempts: Attempts,
        stats: Counter[str],
    ) -> None:
        self.node_state, self.clock, self.stats = node_state, clock, stats
        self.attempts = attempts
        self.range_cutter = RangeResponder(attempts.resources.header_names.seal)
        self.fetches = CollapsedFetches(cache, clock, attempts, stats)
        self.at_most_once = AtMostOnceSender(clock, attempts)

    def execute(self, request: Request, plan: RequestPlan, body: RequestBody = NO_BODY) -> Outcome:
        """Returns the outcome of a plan that the planner made for this request.

        Args:
            request: The request.
            plan: Its plan.
            body: The request's body.

        Raises:
            RequestRejectedError: The caller gets an error reply.
        """
        outcome = self._execute(request, plan, body)
        # The body or a joined fetch may have taken long, or the process was frozen: the lease must
        # still be valid before a stored response is sent.
        if outcome.source is ResponseSource.HIT and not self.node_state.may_serve(self.clock.now()):
            raise LeaseExpiredError
        byte_range = plan.byte_range if isinstance(plan, CachePlan | FetchPlan) else None
        return outcome if byte_range is None else self._cut(outcome, byte_range)

    def _execute(self, request: Request, plan: RequestPlan, body: RequestBody) -> Outcome:
        match plan:
            case RejectPlan(status, reason, retry_after_seconds):
                raise RequestRejectedError(status, reason, retry_after_seconds)
            case CachePlan(entry):
                self.stats["hits"] += 1
                return cached_outcome(entry, self.clock.now())
            case AtMostOncePlan():
                return self.at_most_once.send(request, plan, body)
            case FetchPlan():
                return self.fetches.fetch(request, plan, body)

    def _cut(self, outcome: Outcome, byte_range: ByteRange) -> Outcome:
        """Returns the range of a complete response (RFC 9110, 15.3.7); other responses pass."""
        response = outcome.answer
        if response.status != COMPLETE_STATUS or response.stream is not None:
            return outcome
        return replace(outcome, answer=self.range_cutter.make(response, byte_range))
