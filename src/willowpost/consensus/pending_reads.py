"""Quorum reads that wait for responses, several at a time.

A new read starts at each interval, and responses may take longer than that over a full link or from
a busy voter. Each read keeps its own responses, so that late ones still complete it; it then proves
freshness as of the moment at which it started.
"""

from dataclasses import dataclass, field

MAX_PENDING_READS = 12  # so a response may take twelve times the interval between two reads


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a quorum.

    Attributes:
        started_at: µs, own clock.
        epoch: of the tables when it started.
        slots: the slot that each voter named in its response, by identity.
    """

    started_at: int
    epoch: int
    slots: dict[str, int] = field(default_factory=dict)


class PendingReads:
    """The reads in flight, by nonce, oldest first.

    A read is complete once a quorum has responded, the tables have reached every slot that was
    named, and the epoch is still the one under which the read started.
    """

    def __init__(self) -> None:
        self.by_nonce: dict[int, PendingRead] = {}

    def start(self, nonce: int, now: int, epoch: int, slots: dict[str, int]) -> None:
        """Start a read; beyond MAX_PENDING_READS the oldest one is abandoned.

        Args:
            nonce: of the read's requests.
            now: µs, own clock.
            epoch: of the tables.
            slots: responses that are known at once: a voter's own slot.
        """
        self.by_nonce[nonce] = PendingRead(now, epoch, slots)
        while len(self.by_nonce) > MAX_PENDING_READS:
            oldest = next(iter(self.by_nonce))
            del self.by_nonce[oldest]

    def record_response(self, nonce: int, identity: str, slot: int) -> None:
        """Record a voter's response, if its read is still in flight."""
        if nonce in self.by_nonce:
            self.by_nonce[nonce].slots[identity] = slot

    def complete_newest(self, epoch: int, quorum: int, slot: int) -> int | None:
        """End the newest complete read and all older ones.

        Args:
            epoch: of the tables.
            quorum: how many voters must have responded.
            slot: that the tables have reached.

        Returns:
            When that read started, in µs of the own clock; None if no read is complete.
        """
        for nonce in reversed(self.by_nonce):
            read = self.by_nonce[nonce]
            has_quorum = read.slots and read.epoch == epoch and len(read.slots) >= quorum
            if has_quorum and max(read.slots.values()) <= slot:
                self.by_nonce = {
                    other: pending for other, pending in self.by_nonce.items() if other > nonce
                }
                return read.started_at
        return None
