"""Typed records of calls: who requested what, when, and how it was answered.

Times are whole microseconds of one clock that all callers of a history share.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from willowpost.common.errors import WillowpostError

CONFIGURATION_KEY = "configuration"
ZONE_PREFIX = "zone/"
PURGE_KEY = "purge"


class UnansweredCallError(WillowpostError, ValueError):
    """The time of an answer was read of a call that has none."""


class MissingVersionError(WillowpostError, ValueError):
    """A numbered replace names no number."""


class Operation(Enum):
    """What a call requests."""

    REPLACE = "replace"  # a configuration under the operator's own number; the highest is in force
    PUT = "put"  # a configuration under the next number, conditional if `version` is given
    READ = "read"  # the configuration in force
    EVACUATION_BEGIN = "evacuation_begin"
    EVACUATION_FINISH = "evacuation_finish"
    EVACUATION_READ = "evacuation_read"
    PURGE = "purge"  # changes nothing that is read back


class Outcome(Enum):
    """How a call ended for its caller."""

    OK = "ok"
    REFUSED = "refused"  # the call has not taken effect and never will
    UNKNOWN = "unknown"  # it may take effect at any later time, or never


@dataclass(frozen=True, slots=True)
class Request:
    """What a call requests.

    Attributes:
        operation: What is requested.
        key: The register it concerns: `configuration`, `zone/NAME` or `purge`.
        version: REPLACE: the operator's number. PUT: the version it must replace, or None.
        content: REPLACE and PUT: a digest of the configuration.
    """

    operation: Operation
    key: str
    version: int | None = None
    content: str | None = None

    def require_version(self) -> int:
        """The number that the request names.

        Raises:
            MissingVersionError: It names none.
        """
        if self.version is None:
            raise MissingVersionError(f"{self.operation.value} without a version")
        return self.version


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back.

    Attributes:
        outcome: Whether it took effect.
        version: The version that the answer names, if it names one.
        content: READ: digest of what was read, None if there is none.
        is_changed: REPLACE: whether the answer reports a change; None if it does not say.
        is_evacuated: EVACUATION_READ: whether the zone is evacuated.
    """

    outcome: Outcome
    version: int | None = None
    content: str | None = None
    is_changed: bool | None = None
    is_evacuated: bool | None = None


UNANSWERED = Answer(Outcome.UNKNOWN)


@dataclass(frozen=True, slots=True)
class Call:
    """One call from its sending to its answer.

    Attributes:
        number: Unique in its history.
        caller: Who sent it, and to whom if that is known; for the reader of a report only.
        invoked_at: When it was sent, in µs.
        returned_at: When its answer came, in µs; None if none came.
    """

    number: int
    caller: str
    request: Request
    invoked_at: int
    returned_at: int | None = None
    answer: Answer = UNANSWERED

    @property
    def outcome(self) -> Outcome:
        """How the call ended for its caller."""
        return self.answer.outcome

    def require_returned_at(self) -> int:
        """When the answer came, in µs.

        Raises:
            UnansweredCallError: None came.
        """
        if self.returned_at is None:
            raise UnansweredCallError(f"call {self.number} has no answer")
        return self.returned_at

    def describe(self) -> str:
        """The call on one line."""
        request, answer = self.request, self.answer
        requested = _describe_fields(
            [request.operation.value, request.key],
            {"version": request.version, "content": request.content},
        )
        answered = _describe_fields(
            [answer.outcome.value],
            {
                "version": answer.version,
                "content": answer.content,
                "changed": answer.is_changed,
                "evacuated": answer.is_evacuated,
            },
        )
        end = "never" if self.returned_at is None else f"{self.returned_at / 1e6:.6f} s"
        return (
            f"[{self.invoked_at / 1e6:.6f} s .. {end}] #{self.number} {self.caller}: "
            f"{requested} -> {answered}"
        )


def _describe_fields(words: list[str], fields: Mapping[str, object]) -> str:
    """The words, then NAME=VALUE of each field that has a value."""
    named = [f"{name}={value}" for name, value in fields.items() if value is not None]
    return " ".join([*words, *named])
