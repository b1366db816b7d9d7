"""A request as data, and the plans that can be made for it."""

from dataclasses import dataclass, field
from typing import TypeAlias

from willowpost.common.clock import MILLISECOND
from willowpost.common.memory_pool import PooledMemory
from willowpost.configuration.routes import Route
from willowpost.proxy.cache.entry import CacheEntry
from willowpost.proxy.client.lifetime import UNWATCHED_LIFETIME, RequestLifetime
from willowpost.proxy.routing.attempt import AttemptHistory

SAFE_METHODS = ("GET", "HEAD")
# The kinds of routes; their values are those of the configuration.
ONCE, REPEATABLE, CACHED = "once", "repeatable", "kept"

# (first, last or None), both inclusive (RFC 9110, 14.1.2).
ByteRange: TypeAlias = tuple[int, int | None]


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        method: The HTTP method.
        host: Lower case, without port.
        target: Path and query.
        headers: Lower-case name to value.
        is_from_edge: Whether an edge sent it to this shield.
        may_have_reached_origin: Whether an earlier attempt may have reached an origin through
            another proxy.
        service: The service that the edge which sent it chose, or None.
        max_age_us: How old a response may be by the route that the edge has, in µs, or None.
        attempts_allowed: How many attempts at origins the edge that sent it allows, or None.
        request_id: The caller's id of this request, or None.
        timeout_us: How long the caller waits from `received_at` on, in µs, or None if it did not
            say.
        received_at: When the head was complete, or the body if it has one, by this process's clock,
            in µs.
        lifetime: Whether anybody still waits for the response.
        response_memory: What the responses to it take until it is answered.
        history: The attempts made for it by this proxy, or on its behalf.
    """

    method: str
    host: str
    target: str
    headers: dict[str, str]
    is_from_edge: bool = False
    may_have_reached_origin: bool = False
    service: str | None = None
    max_age_us: int | None = None
    attempts_allowed: int | None = None
    request_id: str | None = None
    timeout_us: int | None = None
    received_at: int = 0
    lifetime: RequestLifetime = field(default=UNWATCHED_LIFETIME, compare=False, repr=False)
    response_memory: PooledMemory = field(default_factory=PooledMemory, compare=False, repr=False)
    history: AttemptHistory = field(default_factory=AttemptHistory, compare=False, repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def keep_us(self, route: Route) -> int:
        """Returns how old a response may be, in µs.

        Args:
            route: The route it matched.
        """
        return route.keep_us if self.max_age_us is None else min(route.keep_us, self.max_age_us)

    def attempt_limit(self, route: Route) -> int:
        """Returns how many attempts at origins may be made.

        Args:
            route: The route it matched.
        """
        allowed = self.attempts_allowed
        return route.tries if allowed is None else min(route.tries, allowed)

    @property
    def is_safe(self) -> bool:
        """Whether the method is GET or HEAD."""
        return self.method in SAFE_METHODS

    def deadline(self, route: Route, now: int) -> int:
        """Returns the earlier of the caller's and the route's deadline, in µs.

        Args:
            route: The route it matched.
            now: This process's clock, in µs.
        """
        started_at = self.received_at or now
        route_deadline = started_at + route.deadline_ms * MILLISECOND
        if self.timeout_us is None:
            return route_deadline
        return min(route_deadline, started_at + self.timeout_us)


def kind_of(route: Route, request: Request) -> str:
    """Returns ONCE, REPEATABLE or CACHED; by the method if the route does not say."""
    if route.kind is None:
        return CACHED if request.is_safe else ONCE
    return REPEATABLE if route.kind == CACHED and not request.is_safe else route.kind


@dataclass(frozen=True, slots=True)
class RejectPlan:
    """Reject the request; nothing of it was sent.

    Attributes:
        status: The HTTP status.
        reason: For the caller and the counters.
        retry_after_seconds: For Retry-After; 0 for none.
    """

    status: int
    reason: str
    retry_after_seconds: float = 1


@dataclass(frozen=True, slots=True)
class CachePlan:
    """Answer from the cache.

    Attributes:
        entry: The stored response.
        byte_range: The range that the caller wants of it, or None for all.
    """

    entry: CacheEntry
    byte_range: ByteRange | None = None


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Fetch a response to a repeatable request.

    Attributes:
        route: The route it matched.
        slot: The log slot of the snapshot it was planned by.
        is_cacheable: Whether the response may be stored and shared.
        shields: (name, address) of the shields to try, best first.
        cached_entry: A stale stored response to be revalidated, or None.
        attempt_limit: How many attempts may be made.
        service: The service to send it to.
        fetches_complete: Whether to request the complete object, whatever range the caller wants.
        byte_range: The range to cut from the complete response, or None.
        version: Of the configuration that it was planned by.
        keep_us: How old a response may be, in µs, by the route and by the edge that sent the
            request.
    """

    route: Route
    slot: int
    is_cacheable: bool
    shields: tuple[tuple[str, str], ...] = ()
    cached_entry: CacheEntry | None = None
    attempt_limit: int = 1
    service: str = ""
    fetches_complete: bool = False
    byte_range: ByteRange | None = None
    version: int = 0
    keep_us: int = 0


@dataclass(frozen=True, slots=True)
class AtMostOncePlan:
    """Send a request that may run only once.

    Attributes:
        route: The route it matched.
        slot: The log slot of the snapshot it was planned by.
        attempt_limit: How many attempts may be made.
        cached_entry: Always None; attempts read this field of every plan.
        service: The service to send it to.
        version: Of the configuration that it was planned by.
    """

    route: Route
    slot: int
    attempt_limit: int = 1
    cached_entry: CacheEntry | None = None
    service: str = ""
    version: int = 0


ForwardPlan: TypeAlias = FetchPlan | AtMostOncePlan
RequestPlan: TypeAlias = RejectPlan | CachePlan | ForwardPlan
