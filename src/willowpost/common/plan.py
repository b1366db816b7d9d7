"""What a step wants done, as data. The shell carries it out in this order."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Plan:
    """Invariant: all `records` are on disk and synced before any of `sends` or `replies` leaves.

    `turn` holds the records of a new disk segment that replaces all before it.
    """

    records: list = field(default_factory=list)
    rotate: list | None = None
    sends: list = field(default_factory=list)  # (address, message)
    replies: list = field(default_factory=list)  # (token, result)
    notes: list = field(default_factory=list)  # (part, sentence, fields)

    def send(self, address: str, message) -> None:
        """Add a message to be sent to `address`."""
        self.sends.append((address, message))

    def note(self, part: str, sentence: str, **more) -> None:
        """Add a sentence to be logged."""
        self.notes.append((part, sentence, more))

    def join(self, other: "Plan") -> "Plan":
        """Add what another controller wants done in the same step; this plan."""
        if other.rotate is not None:
            # a new segment holds all that was to be written before it
            self.rotate, self.records = other.rotate, []
        self.records += other.records
        self.sends += other.sends
        self.replies += other.replies
        self.notes += other.notes
        return self
