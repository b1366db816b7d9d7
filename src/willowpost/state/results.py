"""What the log answers to an operation: accepted, with what follows from it, or rejected."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Reason(StrEnum):
    """Why the log rejects an operation.

    The values are stored with the results of commands, so they keep the words of earlier builds.
    """

    SUPERSEDED = "superseded"  # it was based on what has been replaced since
    UNKNOWN_OPERATION = "unknown op"
    UNKNOWN_DAEMON = "unknown daemon"
    WATCHER_LOST = "its watcher is lost"
    UNKNOWN_ORIGIN = "unknown origin"
    INCARNATION_ENDED = "this life is over"
    INCARNATION_SUCCEEDED = "a later life is at its address"
    REGISTRY_LOST = "its registry is lost"
    WARMED_UP_AGAIN = "turned cold since"
    FENCED = "fence moved on"
    NOT_A_REPLACEMENT = "not a replacement of a member for a learner"
    VOTERS_CHANGED_IN_SLOT = "the voters change once in a slot"
    LEARNER_NOT_UP = "the learner is not up"
    VOTER_STAYS = "the member neither is lost nor leaves"
    NOT_A_LEARNER = "not a learner of this life"
    OFFER_RECORDED = "waits for a second, or for the core to be whole"
    STALE_VERSION = "stale"
    OTHER_CONTENT = "the number belongs to another configuration"
    KEY_REUSED = "the idempotency key belongs to another change"
    NO_CONFIGURATION = "no configuration"
    NO_VERSION_LEFT = "no version number is left"


def malformed(problem: Exception) -> str:
    """Return the reason for rejecting an operation that cannot be read or applied."""
    return f"malformed op: {type(problem).__name__}"


def too_many_voters_in_zone(allowed: int) -> str:
    """Return the reason for rejecting a voter where too many would share a zone."""
    return f"more than {allowed} voters in one zone"


def no_transition(state: str, wanted: str) -> str:
    """Return the reason for rejecting a change of an origin's state."""
    return f"{state} does not turn {wanted}"


@dataclass(frozen=True, slots=True)
class Result:
    """What the log answered to one operation."""

    @property
    def is_accepted(self) -> bool:
        """Whether the operation took effect, now or before."""
        return not isinstance(self, Rejected)


@dataclass(frozen=True, slots=True)
class Accepted(Result):
    """The operation took effect; there is nothing more to say."""


@dataclass(frozen=True, slots=True)
class PurgeAccepted(Result):
    """The purge is in the log since `slot`."""

    slot: int


@dataclass(frozen=True, slots=True)
class VotersChanged(Result):
    """The voters change from the next slot on, in `epoch`."""

    epoch: int


@dataclass(frozen=True, slots=True)
class StateAccepted(Result):
    """A daemon or origin is in `state` now, a `DaemonState` or `OriginState` value."""

    state: str


@dataclass(frozen=True, slots=True)
class OriginAccepted(Result):
    """An origin was registered or ended.

    Attributes:
        origin: its name in the tables; None: it was not registered.
        state: an `OriginState` value.
    """

    origin: str | None
    state: str


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted(Result):
    """A configuration was accepted, now or before.

    Attributes:
        version: that the change made; the one in force for a number that is not above it.
        is_changed: whether this very operation put it into force.
        version_in_force: only for a repeated change; else None.
    """

    version: int
    is_changed: bool
    version_in_force: int | None = None


@dataclass(frozen=True, slots=True)
class OwnershipAcquired(Result):
    """The role is owned under this fencing token."""

    fencing_token: int


@dataclass(frozen=True, slots=True)
class Rejected(Result):
    """The operation changed nothing, except where the reason states otherwise.

    Attributes:
        reason: a `Reason`, or a text of one of the functions above; None: not reported.
        version: the version in force, for a configuration; else None.
    """

    reason: str | None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class UnknownResult(Result):
    """A result of a later build, kept as it was stored."""

    stored: dict[str, Any]

    @property
    def is_accepted(self) -> bool:
        """Whether the operation took effect by the later build's result."""
        return bool(self.stored.get("ok"))
