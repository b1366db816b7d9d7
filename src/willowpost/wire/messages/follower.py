"""Messages of quorum reads and of daemons that follow the log without a vote."""

from dataclasses import dataclass

from willowpost.wire.messages.catch_up import SnapshotChunk, SnapshotRequest
from willowpost.wire.messages.consensus import Decision


@dataclass(frozen=True, slots=True)
class QuorumReadRequest:
    """Requests a voter's slot, in a quorum read."""

    nonce: int = 0


@dataclass(frozen=True, slots=True)
class QuorumReadResponse:
    """A voter's answer to `QuorumReadRequest`: its identity and the next slot it will apply."""

    nonce: int = 0
    identity: str = ""
    slot: int = 0


@dataclass(frozen=True, slots=True)
class Poll:
    """Requests state updates; sent by a daemon that follows the log without a vote.

    Attributes:
        nonce: repeated in the `StateUpdate`.
        slot: the first slot whose decision is missing.
        has_no_tables: whether the follower has no tables at all.
        snapshot: the transfer in progress at the follower; None: none.
    """

    nonce: int = 0
    slot: int = 0
    has_no_tables: bool = False
    snapshot: SnapshotRequest | None = None


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Answers a `Poll` with decisions or a chunk of a snapshot.

    Attributes:
        nonce: of the poll.
        slot: the slot that a follower must have reached for `is_fresh` to hold for it.
        age_us: µs since the moment as of which the sender's tables were known to be complete.
        is_fresh: whether `age_us` is known and holds for the follower once it has reached `slot`.
        decisions: from the polled slot on.
        snapshot: the complete text of a snapshot; empty: none.
        chunk: a chunk of a snapshot; None: none.
    """

    nonce: int = 0
    slot: int = 0
    age_us: int = 0
    is_fresh: bool = False
    decisions: tuple[Decision, ...] = ()
    snapshot: str = ""
    chunk: SnapshotChunk | None = None
