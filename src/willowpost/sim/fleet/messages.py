"""What travels in the simulator between proxies, origins and callers in place of HTTP."""

from dataclasses import dataclass, field

HEALTH = "/health"


@dataclass(frozen=True, slots=True)
class SimRequest:
    """`life` is the life of the answerer a reused connection belongs to; None for a fresh one."""

    number: int
    method: str
    target: str
    headers: tuple
    body: str
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class SimAnswer:
    number: int
    status: int
    headers: tuple = ()
    body: bytes = b""
    whole: bool = True
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class SimBeat:
    service: str
    address: str
    zone: str
    rate: float
    cold_rate: float
    load: int = 0
    token: str = ""


@dataclass(frozen=True, slots=True)
class SimCall:
    """A caller's request on its way to an edge."""

    number: int
    request: object
    body: str = field(default="")
