"""The result of carrying out a plan."""

from dataclasses import dataclass
from enum import StrEnum

from willowpost.proxy.cache.store import Entry
from willowpost.proxy.origin.answer import WholeAnswer


class ResponseSource(StrEnum):
    """Where a response comes from, as the caller reads it."""

    HIT = "hit"
    MISS = "miss"
    PASS = "pass"


@dataclass(frozen=True, slots=True)
class Outcome:
    """A response for the caller.

    Attributes:
        answer: The response; a streamed body breaks off if it turns out to be incomplete.
        source: Where it comes from.
        age: The response's age in µs, or None if it is not sent.
        slot: The least log slot known to any daemon that the fetch passed when it began.
    """

    answer: WholeAnswer
    source: ResponseSource
    age: int | None = None
    slot: int = 0


@dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch.

    Attributes:
        outcome: For the caller.
        shared_entry: The response as other requests may use it; None if it may not be shared.
    """

    outcome: Outcome
    shared_entry: Entry | None = None


def cached_outcome(entry: Entry, now: int) -> Outcome:
    """Returns the outcome of a request that a stored response answers.

    Args:
        entry: The stored response.
        now: This process's clock, in µs.
    """
    return Outcome(response_of(entry), ResponseSource.HIT, entry.age(now), entry.slot)


def response_of(entry: Entry) -> WholeAnswer:
    """Returns a stored response as a response."""
    return WholeAnswer(entry.status, list(entry.headers), entry.body)
