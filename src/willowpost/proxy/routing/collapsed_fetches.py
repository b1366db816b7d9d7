"""Collapsed requests: equal repeatable requests share one fetch (RFC 9111, 4)."""

from collections import Counter
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.proxy.cache.entry import CacheEntry
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.client.lifetime import RequestLifetime
from willowpost.proxy.request_body import NO_BODY, RequestBody
from willowpost.proxy.routing.attempt import RequestRejectedError, RouteChangedError
from willowpost.proxy.routing.attempt_resources import MonotonicClock, Waiter
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.outcome import FetchResult, Outcome, cached_outcome
from willowpost.proxy.routing.repeatable_fetch import RepeatableFetch
from willowpost.proxy.routing.request import FetchPlan, Request
from willowpost.proxy.routing.response_processing import AGE_SLACK_US, ResponseProcessor

# A rejection with this status is the same for all requests that joined the fetch.
SHARED_REJECTION_STATUS = 503
PERSONAL_HEADERS = ("authorization", "cookie")


@dataclass(frozen=True, slots=True)
class SharedResult:
    """The result of a fetch for the requests that joined it.

    With none of its attributes set, each of them fetches for itself.

    Attributes:
        entry: The response, if it may be shared.
        rejection: The final rejection.
        is_aborted: Whether the fetch ended without either, for a reason of its own.
    """

    entry: CacheEntry | None = None
    rejection: RequestRejectedError | None = None
    is_aborted: bool = False


@dataclass(frozen=True, slots=True)
class FetchKey:
    """What equal requests have in common."""

    method: str
    host: str
    target: str
    service: str


@dataclass(frozen=True, slots=True)
class FetchInFlight:
    """A fetch in flight that equal requests may join.

    Attributes:
        waiter: Gives a SharedResult to all who wait.
        slot: The log slot of the plan that started it.
        lifetime: Of the request that started it; those who join it extend its lifetime.
    """

    waiter: Waiter
    slot: int
    lifetime: RequestLifetime


class CollapsedFetches:
    """Fetches for repeatable requests; shares only shareable responses that no known purge hits.

    Args:
        cache: The stored responses.
        clock: This process's clock.
        attempts: Makes single attempts.
        stats: Counters by name.
    """

    def __init__(
        self, cache: CacheStore, clock: MonotonicClock, attempts: Attempts, stats: Counter[str]
    ) -> None:
        self.cache, self.clock, self.attempts, self.stats = cache, clock, attempts, stats
        self.processor = ResponseProcessor(cache, clock, attempts.resources)
        self.in_flight: dict[FetchKey, FetchInFlight] = {}

    def fetch(self, request: Request, plan: FetchPlan, body: RequestBody = NO_BODY) -> Outcome:
        """Fetches a response, by joining an equal fetch in flight if that is possible.

        Raises:
            RequestRejectedError: No attempt gave a response in time, or none could be made.
        """
        if not plan.is_cacheable or any(name in request.headers for name in PERSONAL_HEADERS):
            return self._fetch_alone(request, plan, body).outcome
        key = FetchKey(request.method, request.host, request.target, plan.service)
        joined = self.in_flight.get(key)
        if joined is not None and self._may_join(joined, request, plan):
            return self._join(joined, request, plan, body)
        return self._fetch_shared(key, request, plan, body)

    def _fetch_alone(self, request: Request, plan: FetchPlan, body: RequestBody) -> FetchResult:
        return RepeatableFetch(request, plan, body, self.attempts, self.processor).run()

    def _fetch_shared(
        self, key: FetchKey, request: Request, plan: FetchPlan, body: RequestBody
    ) -> Outcome:
        """Fetches, and gives the result to all who join meanwhile."""
        waiter = self.attempts.resources.io.waiter()
        fetch = FetchInFlight(waiter, plan.slot, request.lifetime)
        self.in_flight[key] = fetch
        try:
            result = self._fetch_alone(request, plan, body)
            waiter.set(SharedResult(entry=result.shared_entry))
            return result.outcome
        except RouteChangedError:
            # Those who joined are planned anew, too.
            waiter.set(SharedResult(is_aborted=True))
            raise
        except RequestRejectedError as rejection:
            waiter.set(SharedResult(rejection=rejection))
            raise
        except BaseException:
            # Also when this request's task is killed: those who joined must not wait for it.
            waiter.set(SharedResult(is_aborted=True))
            raise
        finally:
            if self.in_flight.get(key) is fetch:
                del self.in_flight[key]

    def _may_join(self, fetch: FetchInFlight, request: Request, plan: FetchPlan) -> bool:
        """Whether no purge has hit the fetch since it began, and the request is for the same."""
        return not self.cache.is_purged_since(fetch.slot, request.host, request.target) and (
            plan.fetches_complete or "range" not in request.headers
        )

    def _join(
        self, fetch: FetchInFlight, request: Request, plan: FetchPlan, body: RequestBody
    ) -> Outcome:
        """Waits for another request's fetch, at most until this request's own deadline.

        Raises:
            RequestRejectedError: The deadline passed, or the fetch was rejected.
        """
        self.stats["collapsed"] += 1
        now = self.clock.now()
        deadline = request.deadline(plan.route, now)
        with fetch.lifetime.joined():
            result = fetch.waiter.wait(max(0, deadline - now) / SECOND)
        if result is None:
            raise RequestRejectedError(504, "no whole answer: deadline of a joined fetch", 1)
        if result.rejection is not None:
            return self._after_shared_rejection(result.rejection, deadline, request, plan, body)
        if result.is_aborted:
            return self.fetch(request, plan, body)
        if result.entry is not None and self._may_use(result.entry, request, plan):
            return cached_outcome(result.entry, self.clock.now())
        return self._fetch_alone(request, plan, NO_BODY).outcome

    def _may_use(self, entry: CacheEntry, request: Request, plan: FetchPlan) -> bool:
        """Whether a shared response is of the request's variant, not purged and not too old.

        The fetch may have begun under an older route, or have passed a shield that did not know of
        a purge that is known here.
        """
        is_purged = self.cache.is_purged_since(entry.slot, request.host, request.target, entry.tags)
        is_variant = all(request.headers.get(name, "") == value for name, value in entry.variant)
        is_current = entry.age(self.clock.now()) <= plan.keep_us + AGE_SLACK_US
        return is_variant and not is_purged and is_current

    def _after_shared_rejection(
        self,
        rejection: RequestRejectedError,
        deadline: int,
        request: Request,
        plan: FetchPlan,
        body: RequestBody,
    ) -> Outcome:
        """Repeats a rejection that is the same for all who joined, else fetches anew.

        Another failure may come from the other request's own deadline or attempts.
        """
        if rejection.status == SHARED_REJECTION_STATUS or self.clock.now() >= deadline:
            raise RequestRejectedError(
                rejection.status,
                rejection.reason,
                rejection.retry_after_seconds,
                rejection.outcome,
            )
        return self.fetch(request, plan, body)
