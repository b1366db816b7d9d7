"""A request as data, and the plans that can be made for it."""

from dataclasses import dataclass, field

from willowpost.configuration.routes import Route
from willowpost.proxy.caller.lifetime import UNWATCHED, RequestLifetime

SAFE = ("GET", "HEAD")
ONCE, REPEATABLE, KEPT = "once", "repeatable", "kept"


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        method: The HTTP method.
        host: Lower case, without port.
        target: Path and query.
        headers: Lower-case name to value.
        hop: Whether an edge sent it to this shield.
        extra: Whether an earlier try may have reached an origin through another proxy.
        name: The caller's id of this try, or None.
        left: How long the caller waits from `received` on, in µs, or None if it did not say.
        received: When the head was complete, by this process's clock, in µs.
        lifetime: Whether anybody still waits for the answer.
    """

    method: str
    host: str
    target: str
    headers: dict
    hop: bool = False  # comes from an edge, to a shield
    # an earlier try of it may have reached an origin by way of another hop
    extra: bool = False
    name: str | None = None  # the caller's id of this try
    left: int | None = None
    received: int = 0
    lifetime: RequestLifetime = field(default=UNWATCHED, compare=False, repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def safe(self) -> bool:
        """Whether the method is GET or HEAD."""
        return self.method in SAFE

    def deadline(self, route: Route, now: int) -> int:
        """The earlier of the caller's and the route's deadline, by this process's clock, in µs."""
        begun = self.received or now
        most = begun + route.deadline_ms * 1000
        return most if self.left is None else min(most, begun + self.left)


def kind_of(route: Route, request: Request) -> str:
    """ONCE, REPEATABLE or KEPT; by the method if the route does not say."""
    if route.kind is None:
        return KEPT if request.safe else ONCE
    return REPEATABLE if route.kind == KEPT and not request.safe else route.kind


@dataclass(frozen=True, slots=True)
class RejectPlan:
    """Refuse the request; nothing of it was sent.

    Attributes:
        code: The status.
        reason: For the caller and the counters.
        after: Seconds for Retry-After; 0 for none.
    """

    code: int
    reason: str
    after: float = 1


@dataclass(frozen=True, slots=True)
class CachePlan:
    """Answer from the cache.

    Attributes:
        entry: The stored response.
        part: The range that the caller wants of it, (first, last or None), or None for all.
    """

    entry: object
    part: tuple | None = None  # the range that the caller wants of it


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Fetch a response to a repeatable request.

    Attributes:
        route: The route it matched.
        slot: The log slot of the snapshot it was planned by.
        cacheable: Whether the response may be stored and shared.
        shields: (name, address) of the shields to try, best first.
        entry: A stale stored response to be revalidated, or None.
        tries: How many tries may be made.
        service: The service to send it to.
        whole: Whether to ask for the whole object, whatever range the caller wants.
        part: The range to cut from the whole response, or None.
    """

    route: Route
    slot: int
    cacheable: bool
    shields: tuple = ()
    entry: object = None
    tries: int = 1
    service: str = ""
    # the whole object is asked for, whatever part or state updates of it the caller wants
    whole: bool = False
    part: tuple | None = None


@dataclass(frozen=True, slots=True)
class WritePlan:
    """Send a request that may run only once.

    Attributes:
        route: The route it matched.
        slot: The log slot of the snapshot it was planned by.
        tries: How many tries may be made.
        entry: Always None; tries read this field of every plan.
        service: The service to send it to.
    """

    route: Route
    slot: int
    tries: int = 1
    entry: object = None  # never one for a write
    service: str = ""
