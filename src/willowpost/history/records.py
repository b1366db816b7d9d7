"""Typed records of calls: who asked for what, when, and what the caller was told.

Times are whole microseconds of one clock that all callers of a history share.
"""

from dataclasses import dataclass
from enum import Enum

CONFIGURATION_KEY = "configuration"
ZONE_PREFIX = "zone/"
PURGE_KEY = "purge"


class Operation(Enum):
    """What a call asks for."""

    REPLACE = "replace"  # a configuration under the operator's own number; the highest holds
    PUT = "put"  # a configuration under the next number, conditional if `version` is given
    READ = "read"  # the configuration in force
    EVACUATION_BEGIN = "evacuation_begin"
    EVACUATION_FINISH = "evacuation_finish"
    EVACUATION_READ = "evacuation_read"
    PURGE = "purge"  # changes nothing that is read back


class Outcome(Enum):
    """What the caller was told."""

    OK = "ok"
    REFUSED = "refused"  # the call has not taken effect and never will
    UNKNOWN = "unknown"  # it may take effect at any later time, or never


@dataclass(frozen=True, slots=True)
class Request:
    """What a call says.

    Attributes:
        operation: What is asked for.
        key: The register it concerns: `configuration`, `zone/NAME` or `purge`.
        version: REPLACE: the operator's number. PUT: the version it must replace, or None.
        content: REPLACE and PUT: a digest of the configuration.
    """

    operation: Operation
    key: str
    version: int | None = None
    content: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back.

    Attributes:
        outcome: Whether it took effect.
        version: The version that the answer names, if it names one.
        content: READ: digest of what was read, None if there is none.
        changed: REPLACE: whether the answer says that it changed something; None if it says
            nothing.
        evacuated: EVACUATION_READ: whether the zone is evacuated.
    """

    outcome: Outcome
    version: int | None = None
    content: str | None = None
    changed: bool | None = None
    evacuated: bool | None = None


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
        """What the caller was told."""
        return self.answer.outcome

    def describe(self) -> str:
        """The call on one line."""
        request, answer = self.request, self.answer
        asked = " ".join(
            part
            for part in (
                request.operation.value,
                request.key,
                "" if request.version is None else f"version={request.version}",
                "" if request.content is None else f"content={request.content}",
            )
            if part
        )
        answered = " ".join(
            part
            for part in (
                answer.outcome.value,
                "" if answer.version is None else f"version={answer.version}",
                "" if answer.content is None else f"content={answer.content}",
                "" if answer.changed is None else f"changed={answer.changed}",
                "" if answer.evacuated is None else f"evacuated={answer.evacuated}",
            )
            if part
        )
        end = "never" if self.returned_at is None else f"{self.returned_at / 1e6:.6f} s"
        return (
            f"[{self.invoked_at / 1e6:.6f} s .. {end}] #{self.number} {self.caller}: "
            f"{asked} -> {answered}"
        )
