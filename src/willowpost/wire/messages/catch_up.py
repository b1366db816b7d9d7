"""Messages that bring a store or follower up to date: decisions, snapshots and command bodies."""

from dataclasses import dataclass

from willowpost.wire.messages.consensus import Command, Decision


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Requests the rest of a snapshot's text.

    Attributes:
        slot: the snapshot's slot.
        offset: how many characters the requester has received.
    """

    slot: int = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A chunk of the text of the snapshot of `slot`.

    Attributes:
        slot: the snapshot's slot.
        offset: the index of the chunk's first character.
        total: length of the complete text in characters.
        text: the chunk.
    """

    slot: int = 0
    offset: int = 0
    total: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class CatchupRequest:
    """Requests decisions, a snapshot or the body of a command from a store.

    Attributes:
        slot: the first slot whose decision is missing.
        key: of the command whose body is wanted; empty: none.
        has_no_tables: whether the requester has no tables at all, not even those of the bootstrap.
        snapshot: the transfer in progress at the requester; None: none.
    """

    slot: int = 0
    key: str = ""
    has_no_tables: bool = False
    snapshot: SnapshotRequest | None = None


@dataclass(frozen=True, slots=True)
class CatchupResponse:
    """Answers a `CatchupRequest`: decisions, a snapshot, a chunk of one, or a command's body.

    Attributes:
        slot: the slot after the last decision; with a chunk, the sender's own slot; with a
            command, the requested slot.
        decisions: from the requested slot on.
        snapshot: the complete text of a snapshot; empty: none.
        command: the requested command; None: none.
        chunk: a chunk of a snapshot; None: none.
    """

    slot: int = 0
    decisions: tuple[Decision, ...] = ()
    snapshot: str = ""
    command: Command | None = None
    chunk: SnapshotChunk | None = None
