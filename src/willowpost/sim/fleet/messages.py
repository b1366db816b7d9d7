"""The messages that replace HTTP between simulated proxies, origins and callers."""

from dataclasses import dataclass, field

HEALTH = "/health"


@dataclass(frozen=True, slots=True)
class SimRequest:
    """A request.

    Attributes:
        number: Unique in the world.
        method: The HTTP method, or CONNECT to open a connection.
        target: Path and query.
        headers: (name, value) pairs.
        body: The body.
        incarnation: The receiver's incarnation that a reused connection belongs to; None for
            CONNECT.
    """

    number: int
    method: str
    target: str
    headers: tuple
    body: str
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class SimAnswer:
    """A response.

    Attributes:
        number: The request's number.
        status: The HTTP status; 0 if there is no response but a refused or broken connection.
        headers: (name, value) pairs.
        body: The body.
        whole: False if the connection was refused or the response ended short.
        incarnation: The sender's incarnation.
    """

    number: int
    status: int
    headers: tuple = ()
    body: bytes = b""
    whole: bool = True
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class SimBeat:
    """An origin's heartbeat to a registry.

    Attributes:
        service: The service it belongs to.
        address: Where it listens.
        zone: Its zone.
        rate: Requests a second that it bears.
        slow_start_rate: Requests a second that it bears when it has just started.
        load: Its reported load.
        token: Names its incarnation, or empty.
    """

    service: str
    address: str
    zone: str
    rate: float
    slow_start_rate: float
    load: int = 0
    token: str = ""


@dataclass(frozen=True, slots=True)
class SimCall:
    """A caller's request on its way to an edge."""

    number: int
    request: object
    body: str = field(default="")
