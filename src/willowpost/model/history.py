"""What has been sent and promised since the model began, beyond what the processes hold.

The history is part of a state: two states are equal only if the same was promised in both.
"""

from dataclasses import dataclass, replace

from willowpost.wire.messages import BallotState

BallotPlace = tuple[str, int, int]  # identity, epoch, slot


@dataclass(frozen=True, slots=True)
class History:
    """What was decided, accepted and sent so far.

    Entries are only added, or replaced by a later one of the same kind.

    Attributes:
        decided: (slot, key of the command); the key is empty for NULL.
        accepted: (slot, key) of each command that a client was told is accepted.
        ballots: The furthest ballot state sent for each (identity, epoch, slot).
        claimed_slots: (identity, slot below which it claimed to hold all decisions on disk).
        versions: (configuration version, digest of its content).
        read_bounds: (process, slot below which all was accepted before its newest read began).
    """

    decided: tuple[tuple[int, str], ...] = ()  # slot, key of the command ("" for NULL)
    accepted: tuple[tuple[int, str], ...] = ()
    ballots: tuple[tuple[BallotPlace, BallotState], ...] = ()  # the furthest said of each
    claimed_slots: tuple[tuple[str, int], ...] = ()  # identity, slot it said it holds synced
    versions: tuple[tuple[int, str], ...] = ()  # configuration version, digest of its content
    # for each process: a slot below which all was accepted before its newest read began
    read_bounds: tuple[tuple[str, int], ...] = ()

    def bound(self) -> int:
        """The slot below which everything accepted so far stands."""
        return max((slot + 1 for slot, _ in self.accepted), default=0)

    def read_bound(self, process: str) -> int:
        """What the process's newest read must cover."""
        return dict(self.read_bounds).get(process, 0)

    def with_read_begun(self, process: str) -> "History":
        """A read begins at this process now."""
        bounds = {**dict(self.read_bounds), process: self.bound()}
        return replace(self, read_bounds=tuple(sorted(bounds.items())))

    def with_decided(self, slot: int, key: str) -> "History":
        """Some replica decided this."""
        decision = (slot, key)
        if decision in self.decided:
            return self
        return replace(self, decided=tuple(sorted((*self.decided, decision))))

    def with_accepted(self, slot: int, key: str) -> "History":
        """Some replica told a client that its command is accepted."""
        acceptance = (slot, key)
        if acceptance in self.accepted:
            return self
        return replace(self, accepted=tuple(sorted((*self.accepted, acceptance))))

    def with_ballot(self, place: BallotPlace, ballot: BallotState) -> "History":
        """Some replica sent this ballot state, the furthest of its place so far."""
        ballots = {**dict(self.ballots), place: ballot}
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
