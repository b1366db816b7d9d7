"""A request as data, and the plan made for it before anything is done."""
from dataclasses import dataclass

from willowpost.layout.ways import Way

SAFE = ("GET", "HEAD")


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    host: str
    target: str
    headers: dict
    hop: bool = False          # comes from an edge, to a shield
    extra: bool = False        # an earlier try of it may have reached an origin by way of another hop

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def safe(self) -> bool:
        return self.method in SAFE


@dataclass(frozen=True, slots=True)
class ShedPlan:
    """Invariant: nothing of the request has left, so its outcome is not-run."""

    code: int
    reason: str
    after: int = 1


@dataclass(frozen=True, slots=True)
class CachePlan:
    entry: object


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Invariant: `shields` is empty for writes; `entry` is a stale one to be revalidated."""

    way: Way
    slot: int
    cacheable: bool
    shields: tuple = ()
    entry: object = None
    tries: int = 1


@dataclass(frozen=True, slots=True)
class WritePlan:
    way: Way
    slot: int
    tries: int = 1
    entry: object = None       # never one for a write
