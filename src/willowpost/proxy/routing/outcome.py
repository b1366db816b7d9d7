"""The result of carrying out a plan."""

from dataclasses import dataclass

from willowpost.proxy.origin.answer import WholeAnswer


@dataclass(frozen=True, slots=True)
class Outcome:
    """A response for the caller.

    Attributes:
        answer: The response; a streamed body breaks off if it turns out to be incomplete.
        source: hit, miss or pass, for the caller's information.
        age: The response's age in µs, or None if it is not told.
        slot: The least log slot known to any daemon that the fetch passed when it began.
    """

    answer: WholeAnswer
    source: str  # hit | miss | pass
    age: int | None = None  # µs
    slot: int = 0
