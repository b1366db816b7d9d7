"""What a store writes to its disk, as typed records; `records.py` has their stored forms."""

from dataclasses import dataclass

from willowpost.common.errors import WillowpostError
from willowpost.wire.messages import Command, Decision, Member


class MissingCommandError(WillowpostError, ValueError):
    """A slot was decided, and the command is neither in the record nor in the ballot state."""


@dataclass(frozen=True, slots=True)
class BootstrapPromiseRecord:
    """The one bootstrap promise of this store.

    Attributes:
        members: the promised members, each as JSON text.
    """

    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BootstrapVotersRecord:
    """The voters of the first epoch."""

    voters: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """A snapshot of the tables.

    Attributes:
        text: of the tables.
        log_floor: the first slot whose decision is kept.
        passed_epoch: the last epoch whose opening barrier was passed.
    """

    text: str
    log_floor: int
    passed_epoch: int


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """The decision of a slot.

    Attributes:
        slot: that was decided.
        key: of the command; empty for NULL.
        command: left out if the ballot state before it in the segment has it.
    """

    slot: int
    key: str
    command: Command | None

    def decision(self, proposed: Command | None = None) -> Decision:
        """Return the decision with its command.

        Args:
            proposed: the command of the ballot state before it, used if the record has none.

        Raises:
            MissingCommandError: the decided command is neither in the record nor the proposed one.
        """
        command = self.command
        if command is None and proposed is not None and proposed.key == self.key:
            command = proposed
        if command is None and self.key:
            raise MissingCommandError(
                f"slot {self.slot} was decided as {self.key}, which is not there"
            )
        return Decision(self.slot, self.key, command)


@dataclass(frozen=True, slots=True)
class RetainedDecisionRecord(DecisionRecord):
    """A decision below the snapshot's slot, kept for replicas that are behind."""


@dataclass(frozen=True, slots=True)
class BallotStateRecord:
    """The own ballot state; see `wire.messages.BallotState`.

    Attributes:
        epoch: in which the replica votes.
        slot: on which it votes.
        proposal: key of the proposed command; empty for none.
        command: the proposed command; in the slot's first record of a segment only.
        states: one per phase.
        votes: one per phase.
        agreed: key of the majority's proposal; empty while it is not known.
    """

    epoch: int
    slot: int
    proposal: str
    command: Command | None
    states: tuple[int, ...]
    votes: tuple[int, ...]
    agreed: str = ""


@dataclass(frozen=True, slots=True)
class BarrierPassedRecord:
    """The opening barrier of an epoch was passed."""

    epoch: int


Record = (
    Member
    | BootstrapPromiseRecord
    | BootstrapVotersRecord
    | SnapshotRecord
    | DecisionRecord
    | BallotStateRecord
    | BarrierPassedRecord
)
