"""The messages of wire.fbs as immutable values; the logic uses only these.

Times are whole microseconds. A request and its answer carry the same `nonce`.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Command:
    """A batch of operations to be decided by the log.

    Attributes:
        daemon: the daemon that stamped it.
        incarnation: of that daemon; with `counter` it makes the key, which names one body for ever.
        counter: rises with each command of the incarnation.
        stamp: µs; orders the queues and never goes back at its daemon.
        body: JSON: a list of operations.
    """

    daemon: str = ""
    incarnation: int = 0
    counter: int = 0
    stamp: int = 0
    body: str = "[]"

    @property
    def key(self) -> str:
        """The command's unique name: daemon/incarnation/counter."""
        return f"{self.daemon}/{self.incarnation}/{self.counter}"


@dataclass(frozen=True, slots=True)
class BallotState:
    """What one replica has proposed and voted in one slot, cumulative.

    For one identity, epoch and slot, any two ballot states ever sent have the same proposal, and
    the states and votes of one are a prefix of the other's.

    Attributes:
        identity: of the replica.
        epoch: in which it votes.
        slot: on which it votes.
        proposal: key of the proposed command; empty for none.
        command: the proposed command; left out of later ballot states of the slot.
        states: one per phase, 0 or 1.
        votes: one per phase, 0, 1 or 2 (unsure).
        again: whether it is a resend; who has decided the slot then answers with decisions.
        agreed: the proposal that a majority made, once known; always there with a state or vote of
            1.
    """

    identity: str = ""
    epoch: int = 0
    slot: int = 0
    proposal: str = ""
    command: Command | None = None
    states: tuple[int, ...] = ()
    votes: tuple[int, ...] = ()
    again: bool = False
    agreed: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision of a slot, one in the whole fleet; an empty key is NULL, without a command."""

    slot: int = 0
    key: str = ""
    command: Command | None = None


@dataclass(frozen=True, slots=True)
class Member:
    """A store.

    Attributes:
        identity: made once for an empty folder, lost with the disk.
        name: of its machine.
        zone: where the machine is.
        address: IP:port where other processes reach it.
    """

    identity: str = ""
    name: str = ""
    zone: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Hello:
    """Greets a process and says what the sender knows of the voters.

    Attributes:
        identity: of the sending store; empty from an empty store that may not bootstrap, and from
            other daemons.
        name: of its machine.
        zone: of its machine.
        address: IP:port where other processes reach it.
        bootstrapped: whether the sender knows a bootstrapped fleet.
        answer: whether this answers a Hello; if not, the receiver sends one back.
        known: the voters or, before the bootstrap, the stores that the sender has heard of.
        promise: the cards (JSON) of the sender's bootstrap promise; empty: none.
    """

    identity: str = ""
    name: str = ""
    zone: str = ""
    address: str = ""
    bootstrapped: bool = False
    answer: bool = False
    known: tuple[Member, ...] = ()
    promise: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardCommand:
    """A submitted command, passed on by a store to the other voters."""

    command: Command = Command()


@dataclass(frozen=True, slots=True)
class SyncedIndex:
    """Reports that the sender holds every decision below `slot` synced on its disk."""

    identity: str = ""
    slot: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """The asker holds the first `offset` characters of the snapshot of `slot`."""

    slot: int = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of the text of the snapshot of `slot`.

    Attributes:
        slot: the snapshot's slot.
        offset: the index of the part's first character.
        total: length of the whole text in characters.
        text: the part.
    """

    slot: int = 0
    offset: int = 0
    total: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class CatchupRequest:
    """Asks a store for decisions, a snapshot or the body of a command.

    Attributes:
        slot: the first slot whose decision is missing.
        key: of the command whose body is wanted; empty: none.
        blank: whether the asker has no tables at all, not even those of the bootstrap.
        snapshot: the transfer under way at the asker; None: none.
    """

    slot: int = 0
    key: str = ""
    blank: bool = False
    snapshot: SnapshotRequest | None = None


@dataclass(frozen=True, slots=True)
class CatchupResponse:
    """Answers a `CatchupRequest`: decisions, a snapshot, a chunk of one, or a command's body.

    `slot` is the slot after the last decision, or the sender's own slot with a piece, or the
    slot asked about with a command.
    """

    slot: int = 0
    decisions: tuple[Decision, ...] = ()
    snapshot: str = ""
    command: Command | None = None
    piece: SnapshotChunk | None = None


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """A command that a daemon wants decided; a store answers with `CommandAccepted`."""

    command: Command = Command()


@dataclass(frozen=True, slots=True)
class CommandAccepted:
    """The command is decided and synced on n - f voters.

    Attributes:
        key: of the command.
        slot: that decided it, or the store's newest one if that is not known.
        answers: JSON: a list with one answer per operation; null if they are not kept any more; or
            an object with `barred` or `forgotten`, see `acceptance.Outcome`.
    """

    key: str = ""
    slot: int = 0
    answers: str = "[]"


@dataclass(frozen=True, slots=True)
class QuorumReadRequest:
    """Asks a voter for its slot, in a quorum read."""

    nonce: int = 0


@dataclass(frozen=True, slots=True)
class QuorumReadResponse:
    """A voter's answer to `QuorumReadRequest`: its identity and the next slot it will apply."""

    nonce: int = 0
    identity: str = ""
    slot: int = 0


@dataclass(frozen=True, slots=True)
class Poll:
    """Asks for state updates; sent by a daemon that follows the log without a vote.

    Attributes:
        nonce: repeated in the `StateUpdate`.
        slot: the first slot whose decision is missing.
        blank: whether the follower has no tables at all.
        snapshot: the transfer under way at the follower; None: none.
    """

    nonce: int = 0
    slot: int = 0
    blank: bool = False
    snapshot: SnapshotRequest | None = None


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Answers a `Poll` with decisions or a piece of a snapshot.

    Attributes:
        nonce: of the poll.
        slot: the slot that a follower must have reached for `fresh` to hold for it.
        age: µs since the moment as of which the sender's tables were known to be complete.
        fresh: whether `age` is known and holds for the follower once it has reached `slot`.
        decisions: from the polled slot on.
        snapshot: the whole text of a snapshot; empty: none.
        piece: a piece of a snapshot; None: none.
    """

    nonce: int = 0
    slot: int = 0
    age: int = 0
    fresh: bool = False
    decisions: tuple[Decision, ...] = ()
    snapshot: str = ""
    piece: SnapshotChunk | None = None


@dataclass(frozen=True, slots=True)
class Ping:
    """A failure detector's probe; `identity` is the sender's id@incarnation."""

    nonce: int = 0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to `Ping`; `identity` is the answering daemon's id@incarnation."""

    nonce: int = 0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class QuotaShareRequest:
    """Asks the owner of a service's quota for a share.

    Attributes:
        nonce: repeated in the answer.
        service: whose quota it is.
        fence: of the owner, as the asker's tables have it.
        demand: in thousandths of a request per second.
    """

    nonce: int = 0
    service: str = ""
    fence: int = 0
    demand: int = 0


@dataclass(frozen=True, slots=True)
class QuotaShareResponse:
    """Grants a quota share; `rate` is in thousandths of a request per second."""

    nonce: int = 0
    service: str = ""
    fence: int = 0
    rate: int = 0


@dataclass(frozen=True, slots=True)
class OriginHeartbeat:
    """An origin's heartbeat, passed on by a registry.

    Attributes:
        origin: its name in the tables.
        load: requests that it works on and keeps waiting.
        cold: µs for which it is still cold; 0 if it is warm or does not say; `told` on its card in
            the tables tells these apart.
        slots: how many requests it works on at once; 0: not said.
        number: rises with each beat of one incarnation; 0 if it has none.
    """

    origin: str = ""
    load: int = 0
    cold: int = 0
    slots: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionTokenRequest:
    """Asks a service's owner for one admission token.

    Attributes:
        nonce: repeated in the answer.
        service: whose token is wanted.
        fence: of the owner, as the asker's tables have it.
        origin: the cold origin whose token is wanted; empty: the service's own.
    """

    nonce: int = 0
    service: str = ""
    fence: int = 0
    origin: str = ""


@dataclass(frozen=True, slots=True)
class AdmissionTokenResponse:
    """The owner's answer: whether the token is given."""

    nonce: int = 0
    given: bool = False


BODIES = (
    BallotState,
    Hello,
    ForwardCommand,
    SyncedIndex,
    CatchupRequest,
    CatchupResponse,
    SubmitCommand,
    CommandAccepted,
    QuorumReadRequest,
    QuorumReadResponse,
    Poll,
    StateUpdate,
    Ping,
    Pong,
    QuotaShareRequest,
    QuotaShareResponse,
    OriginHeartbeat,
    AdmissionTokenRequest,
    AdmissionTokenResponse,
)
NESTED = (Command, Decision, Member, SnapshotRequest, SnapshotChunk)
