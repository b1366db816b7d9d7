"""A request as data, and the plan made for it before anything is done."""

from dataclasses import dataclass

from willowpost.configuration.routes import Route

SAFE = ("GET", "HEAD")
ONCE, REPEATABLE, KEPT = "once", "repeatable", "kept"


@dataclass(frozen=True, slots=True)
class Request:
    """`received` is when its head was whole (own clock, µs).

    `left` how long the caller waited from then on, if it said.
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

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def safe(self) -> bool:
        return self.method in SAFE

    def deadline(self, route: Route, now: int) -> int:
        """The earlier of what the caller and what the operator says."""
        begun = self.received or now
        most = begun + route.deadline_ms * 1000
        return most if self.left is None else min(most, begun + self.left)


def kind_of(route: Route, request: Request) -> str:
    """A way that says no kind goes by the method, as HTTP has it."""
    if route.kind is None:
        return KEPT if request.safe else ONCE
    return REPEATABLE if route.kind == KEPT and not request.safe else route.kind


@dataclass(frozen=True, slots=True)
class RejectPlan:
    """Invariant: nothing of the request has left, so its outcome is not-run."""

    code: int
    reason: str
    after: float = 1


@dataclass(frozen=True, slots=True)
class CachePlan:
    entry: object
    part: tuple | None = None  # the range that the caller wants of it


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Invariant: only of a repeatable request; `entry` is a stale one to be revalidated."""

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
    """For what may run once."""

    route: Route
    slot: int
    tries: int = 1
    entry: object = None  # never one for a write
    service: str = ""
