"""What has been tried for a request, and how it is given up."""

from dataclasses import dataclass, field

SOON = 0.1  # seconds until another origin, or the same one, may take the request
MISDIRECTED = 421
NOT_RUN = (408, MISDIRECTED, 429, 503)  # statuses that promise that a request has not run
NOT_RUN_OUTCOME = "not-run"


class Rejected(Exception):
    """A request is given up; the caller gets its final reply at once.

    Attributes:
        code: The status.
        reason: For the caller and the counters.
        after: Seconds for Retry-After; 0 for none.
        outcome: not-run if the request never ran and never will, else unknown.
    """

    def __init__(self, code: int, reason: str, after: float = 1, outcome: str = "not-run"):
        super().__init__(reason)
        self.code, self.reason, self.after, self.outcome = code, reason, after, outcome


@dataclass(slots=True)
class Trace:
    """What has been tried for one request.

    Attributes:
        pressed: False only if no byte of the request can have reached an origin, from here or
            through another proxy. Once it is True, each further try counts as an extra one.
        tried: Names of the origins tried.
        extra: Whether the try under way was charged as an extra one.
    """

    pressed: bool = False
    extra: bool = False
    tried: set[str] = field(default_factory=set)
