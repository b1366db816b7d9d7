"""The attempts made for a request, and how it is given up."""

from dataclasses import dataclass, field

from willowpost.common.errors import WillowpostError

# Seconds until another origin, or the same one, may accept the request.
RETRY_SOON_SECONDS = 0.1
MISDIRECTED_STATUS = 421  # RFC 9110, 15.5.20
# Statuses by which an origin promises that a request has not run.
NOT_RUN_STATUSES = (408, MISDIRECTED_STATUS, 429, 503)
# Outcomes of a request that is given up, as the caller reads them.
NOT_RUN_OUTCOME = "not-run"
UNKNOWN_OUTCOME = "unknown"
NO_LEASE_REASON = "no fresh state updates from the core"
NO_LEASE_RETRY_SECONDS = 2


class RequestRejectedError(WillowpostError):
    """A request is given up; the caller gets its final reply at once.

    Attributes:
        status: The HTTP status.
        reason: For the caller and the counters.
        retry_after_seconds: For Retry-After (RFC 9110, 10.2.3); 0 for none.
        outcome: not-run if the request never ran and never will, else unknown.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float = 1,
        outcome: str = NOT_RUN_OUTCOME,
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.outcome = status, reason, outcome
        self.retry_after_seconds = retry_after_seconds


class LeaseExpiredError(RequestRejectedError):
    """The proxy holds no lease, so it may neither send a request nor serve from its cache."""

    def __init__(self) -> None:
        super().__init__(503, NO_LEASE_REASON, NO_LEASE_RETRY_SECONDS)


class BodyReleasedError(RequestRejectedError):
    """A further attempt would need the body, whose memory other requests have waited for."""

    def __init__(self) -> None:
        super().__init__(503, "the body is not kept for another attempt", RETRY_SOON_SECONDS)


class RouteChangedError(RequestRejectedError):
    """The configuration in force has the request handled in another way than it was planned."""

    def __init__(self) -> None:
        super().__init__(503, "the configuration has changed", RETRY_SOON_SECONDS)


@dataclass(slots=True)
class AttemptHistory:
    """The attempts made for one request.

    Attributes:
        may_have_reached_origin: False only if no byte of the request can have reached an origin,
            from here or through another proxy. Once it is True, each further attempt is a retry.
        is_retry: Whether the attempt in flight was charged as a retry.
        tried_origins: Names of the origins that were tried.
        made: How many attempts may have reached an origin, from here or through shields; where that
            is not known, the most that it can be.
    """

    may_have_reached_origin: bool = False
    is_retry: bool = False
    tried_origins: set[str] = field(default_factory=set)
    made: int = 0

    def record_made(self, attempts: int) -> None:
        """Records attempts that may have reached an origin."""
        self.made += attempts
        self.may_have_reached_origin |= attempts > 0
