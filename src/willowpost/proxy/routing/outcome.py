"""What a carried-out plan comes to."""

from dataclasses import dataclass

from willowpost.proxy.origin.answer import WholeAnswer


@dataclass(frozen=True, slots=True)
class Outcome:
    """Invariant: `answer` is whole, or streams and aborts if it turns out not to be."""

    answer: WholeAnswer
    source: str  # hit | miss | pass
    age: int | None = None  # µs
    slot: int = 0
