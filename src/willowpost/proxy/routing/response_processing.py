"""Turns the response to a repeatable request into an outcome, and stores it if the rules allow."""

from willowpost.common.clock import MILLISECOND
from willowpost.proxy.cache.entry import CacheEntry
from willowpost.proxy.cache.storage_policy import (
    StorageDecision,
    StoragePolicy,
    corrected_age,
    parse_whole_number,
)
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.routing.attempt_resources import AttemptResources, MonotonicClock
from willowpost.proxy.routing.headers import (
    CONDITIONAL_HEADERS,
    HOP_AGE,
    HOP_ATTEMPTS_MADE,
    HOP_SLOT,
    end_to_end,
)
from willowpost.proxy.routing.outcome import FetchResult, Outcome, ResponseSource, response_of
from willowpost.proxy.routing.request import FetchPlan, Request

NOT_MODIFIED_STATUS = 304  # RFC 9110, 15.4.5
# A response ages on its way: by so much it may be older on arrival than its route allows.
AGE_SLACK_US = 500 * MILLISECOND

HeaderTuple = tuple[tuple[str, str], ...]


def have_same_version(entity_tag: str, other: str) -> bool:
    """Whether two entity tags match by weak comparison (RFC 9110, 8.8.3.2)."""
    return entity_tag.removeprefix("W/") == other.removeprefix("W/")


def is_unrequested_not_modified(
    response: OriginResponse, request: Request, plan: FetchPlan
) -> bool:
    """Whether this is a 304 that confirms no condition sent, be it the proxy's or the caller's."""
    if response.status != NOT_MODIFIED_STATUS:
        return False
    if plan.cached_entry is None:
        return plan.fetches_complete or not any(
            name in request.headers for name in CONDITIONAL_HEADERS
        )
    stored_headers, entity_tag = dict(plan.cached_entry.headers), response.header("etag")
    if "etag" not in stored_headers:
        return "last-modified" not in stored_headers
    return entity_tag is not None and not have_same_version(entity_tag, stored_headers["etag"])


class ResponseProcessor:
    """Turns responses into outcomes; stores complete ones that the rules allow to be shared.

    Args:
        cache: The stored responses.
        clock: This process's clock.
        resources: Header names and this proxy's region.
    """

    def __init__(
        self, cache: CacheStore, clock: MonotonicClock, resources: AttemptResources
    ) -> None:
        self.cache, self.clock, self.resources = cache, clock, resources
        self.rules = StoragePolicy()

    def process(
        self, request: Request, plan: FetchPlan, response: OriginResponse, started_at: int
    ) -> FetchResult:
        """Returns the outcome of a response, and its stored entry if it may be shared.

        Args:
            request: The request.
            plan: Its plan.
            response: The response.
            started_at: When the fetch began, by this process's clock, in µs.
        """
        age = self._age(plan, response, started_at)
        headers = self._forwarded_headers(response)
        if response.status == NOT_MODIFIED_STATUS and plan.cached_entry is not None:
            return self._revalidated(request, plan, plan.cached_entry, response, headers, age)
        storing = self._storing(request, plan, response)
        slot = self._slot(plan, response)
        forwarded = _with_content_length(response, headers)
        if storing is None:
            source = ResponseSource.MISS if plan.is_cacheable else ResponseSource.PASS
            sent_age = age if response.header("age") else None
            return FetchResult(Outcome(forwarded, source, sent_age, slot))
        entry = CacheEntry(
            request.host,
            request.target,
            tuple((name, request.headers.get(name, "")) for name in storing.vary),
            response.status,
            headers,
            response.body,
            self.clock.now() - age,
            storing.stated_lifetime,
            slot,
            storing.is_public,
            self._cache_tags(response),
            plan.service,
        )
        self.cache.store(entry)
        outcome = Outcome(forwarded, ResponseSource.MISS, age, slot)
        is_fresh = entry.is_fresh(self.clock.now(), plan.keep_us)
        return FetchResult(outcome, entry if is_fresh else None)

    def is_outdated(self, request: Request, plan: FetchPlan, response: OriginResponse) -> bool:
        """Whether a shield's response is too old by what is known here.

        The shield may not know of a purge, or of the route: it lags, or is out of touch.
        """
        hop_age = self._hop_age(plan, response)
        is_copy = response.header(HOP_ATTEMPTS_MADE) in (None, "0")  # else it was just fetched
        if is_copy and hop_age is not None and hop_age > plan.keep_us + AGE_SLACK_US:
            return True
        return self.cache.is_purged_since(
            self._slot(plan, response), request.host, request.target, self._cache_tags(response)
        )

    def _revalidated(
        self,
        request: Request,
        plan: FetchPlan,
        entry: CacheEntry,
        response: OriginResponse,
        headers: HeaderTuple,
        age: int,
    ) -> FetchResult:
        """Returns the stored response of a 304, with its headers updated (RFC 9111, 3.2)."""
        updated_headers = {**dict(entry.headers), **dict(headers)}
        storing = self.rules.decide(
            self._fetched_headers(request, plan),
            entry.status,
            updated_headers,
            plan.keep_us,
        )
        if storing is None:
            self.cache.remove(entry)
            return FetchResult(Outcome(response_of(entry), ResponseSource.MISS))
        refreshed = self.cache.refresh(
            entry,
            self._merged_headers(entry, headers),
            self.clock.now() - age,
            storing.stated_lifetime,
            self._slot(plan, response),
            self._cache_tags(response) or entry.tags,
        )
        outcome = Outcome(
            response_of(refreshed),
            ResponseSource.MISS,
            refreshed.age(self.clock.now()),
            refreshed.slot,
        )
        return FetchResult(outcome, refreshed)

    def _merged_headers(self, entry: CacheEntry, headers: HeaderTuple) -> HeaderTuple:
        """Returns the stored headers, replaced by those of the 304 that have the same name.

        The seal is of the complete response that is stored, not of the 304.
        """
        seal = self.resources.header_names.seal
        update = tuple(pair for pair in headers if pair[0] != seal)
        updated_names = {name for name, _ in update}
        return tuple(pair for pair in entry.headers if pair[0] not in updated_names) + update

    def _age(self, plan: FetchPlan, response: OriginResponse, started_at: int) -> int:
        """Returns the response's age in µs (RFC 9111, 4.2.3)."""
        return corrected_age(
            response.headers_by_name(),
            self.clock.now() - started_at,
            self._hop_age(plan, response),
        )

    def _hop_age(self, plan: FetchPlan, response: OriginResponse) -> int | None:
        """Returns the age that a shield stated, in µs; None if the response has not passed one."""
        milliseconds = parse_whole_number(response.header(HOP_AGE)) if plan.shields else None
        return None if milliseconds is None else milliseconds * MILLISECOND

    def _forwarded_headers(self, response: OriginResponse) -> HeaderTuple:
        names = self.resources.header_names
        dropped = ("age", names.request_id, names.load)
        forwarded = end_to_end(response.headers, names.all_names())
        return tuple(pair for pair in forwarded if pair[0] not in dropped)

    def _fetched_headers(self, request: Request, plan: FetchPlan) -> dict[str, str]:
        """Returns the request's headers, without Range if the complete object was fetched."""
        if not plan.fetches_complete:
            return request.headers
        return {name: value for name, value in request.headers.items() if name != "range"}

    def _storing(
        self, request: Request, plan: FetchPlan, response: OriginResponse
    ) -> StorageDecision | None:
        """Returns how to store the response, or None if it must not be stored (RFC 9111, 3)."""
        if (
            not plan.is_cacheable
            or request.method != "GET"
            or response.stream is not None
            or not plan.route.may_cache_in(self.resources.own_region)
        ):
            return None
        return self.rules.decide(
            self._fetched_headers(request, plan),
            response.status,
            response.headers_by_name(),
            plan.keep_us,
        )

    def _slot(self, plan: FetchPlan, response: OriginResponse) -> int:
        """Returns the least log slot known to any daemon that the fetch passed when it began."""
        hop_slot = parse_whole_number(response.header(HOP_SLOT)) if plan.shields else None
        return plan.slot if hop_slot is None else min(plan.slot, hop_slot)

    def _cache_tags(self, response: OriginResponse) -> tuple[str, ...]:
        return tuple((response.header(self.resources.header_names.cache_tags) or "").split())


def _with_content_length(response: OriginResponse, headers: HeaderTuple) -> OriginResponse:
    """Returns the response as it is forwarded; Content-Length stays, as the body is not changed."""
    length = response.header("content-length")
    framing = [("content-length", length)] if length else []
    return OriginResponse(response.status, [*headers, *framing], response.body, response.stream)
