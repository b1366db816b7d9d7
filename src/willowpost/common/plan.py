"""The output of a step, as data. The shell carries it out in the order of the fields."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Plan:
    """What is to be written, sent, answered and logged.

    All `records` are synced to disk before any of `sends` or `replies` leaves.

    Attributes:
        records: to be appended to the disk segment.
        rotate: the records of a new disk segment that replaces all before it; None: none.
        sends: (address, message).
        replies: (token, result) for callers in this process.
        log_entries: (part, sentence, fields) to be logged.
    """

    records: list[dict[str, Any]] = field(default_factory=list)
    rotate: list[dict[str, Any]] | None = None
    sends: list[tuple[str, object]] = field(default_factory=list)  # (address, message)
    replies: list[tuple[object, Any]] = field(default_factory=list)  # (token, result)
    # (part, sentence, fields)
    log_entries: list[tuple[str, str, dict[str, Any]]] = field(default_factory=list)

    def send(self, address: str, message: object) -> None:
        """Add a message to be sent to `address`."""
        self.sends.append((address, message))

    def log(self, part: str, sentence: str, **more: Any) -> None:
        """Add a sentence to be logged."""
        self.log_entries.append((part, sentence, more))

    def join(self, other: "Plan") -> "Plan":
        """Add another controller's plan for the same step; returns this plan."""
        if other.rotate is not None:
            # a new segment holds all that was to be written before it
            self.rotate, self.records = other.rotate, []
        self.records += other.records
        self.sends += other.sends
        self.replies += other.replies
        self.log_entries += other.log_entries
        return self
