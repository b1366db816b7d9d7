"""What has been sent and promised since the model began, beyond what the processes store.

The history is part of a state: two states are equal only if the same was promised in both.
"""

from dataclasses import dataclass, replace

from willowpost.wire.messages import BallotState

BallotKey = tuple[str, int, int]  # identity, epoch, slot


@dataclass(frozen=True, slots=True)
class History:
    """What was decided, accepted and sent so far.

    Entries are only added, or replaced by a later one of the same kind.

    Attributes:
        decided: (slot, key of the command); the key is empty for NULL.
        accepted: (slot, key) of each command that was acknowledged to a client as accepted.
        ballots: The furthest ballot state sent for each (identity, epoch, slot).
        claimed_slots: (identity, slot below which it claimed to hold all decisions on disk).
        versions: (configuration version, digest of its content).
        read_bounds: (process, slot below which all was accepted before its newest read started).
    """

    decided: tuple[tuple[int, str], ...] = ()
    accepted: tuple[tuple[int, str], ...] = ()
    ballots: tuple[tuple[BallotKey, BallotState], ...] = ()
    claimed_slots: tuple[tuple[str, int], ...] = ()
    versions: tuple[tuple[int, str], ...] = ()
    read_bounds: tuple[tuple[str, int], ...] = ()

    def accepted_bound(self) -> int:
        """The slot below which everything accepted so far lies."""
        return max((slot + 1 for slot, _ in self.accepted), default=0)

    def read_bound(self, process: str) -> int:
        """What the process's newest read must cover."""
        return dict(self.read_bounds).get(process, 0)

    def with_read_started(self, process: str) -> "History":
        """A read starts at this process now."""
        bounds = {**dict(self.read_bounds), process: self.accepted_bound()}
        return replace(self, read_bounds=tuple(sorted(bounds.items())))

    def with_decided(self, slot: int, key: str) -> "History":
        """Some replica decided this."""
        decision = (slot, key)
        if decision in self.decided:
            return self
        return replace(self, decided=tuple(sorted((*self.decided, decision))))

    def with_accepted(self, slot: int, key: str) -> "History":
        """Some replica acknowledged to a client that its command is accepted."""
        acceptance = (slot, key)
        if acceptance in self.accepted:
            return self
        return replace(self, accepted=tuple(sorted((*self.accepted, acceptance))))

    def with_ballot(self, ballot_key: BallotKey, ballot: BallotState) -> "History":
        """Some replica sent this ballot state, the furthest of its slot so far."""
        ballots = {**dict(self.ballots), ballot_key: ballot}
        return replace(self, ballots=tuple(sorted(ballots.items(), key=lambda item: item[0])))

    def with_claimed_slot(self, identity: str, slot: int) -> "History":
        """Some replica claimed to hold every slot below this one."""
        claimed_slots = dict(self.claimed_slots)
        if claimed_slots.get(identity, 0) >= slot:
            return self
        return replace(self, claimed_slots=tuple(sorted({**claimed_slots, identity: slot}.items())))

    def with_version(self, version: int, digest: str) -> "History":
        """Some replica holds this content under this version number."""
        content = (version, digest)
        if content in self.versions:
            return self
        return replace(self, versions=tuple(sorted((*self.versions, content))))
