"""Messages of the voters: proposals, votes, forwarded commands and the bootstrap."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Command:
    """A batch of operations to be decided by the log.

    Attributes:
        daemon: the daemon that stamped it.
        incarnation: of that daemon; with `counter` it makes the key, which identifies one body for
            ever.
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


EMPTY_COMMAND = Command()


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
        is_resend: whether it was sent before; who has decided the slot then answers with decisions.
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
    is_resend: bool = False
    agreed: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision of a slot, the same at all replicas; an empty key is NULL, without a command."""

    slot: int = 0
    key: str = ""
    command: Command | None = None


@dataclass(frozen=True, slots=True)
class Member:
    """A store.

    Attributes:
        identity: created once for an empty data folder, lost with the disk.
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
    """Introduces the sender and lists the voters that it knows.

    Attributes:
        identity: of the sending store; empty from an empty store that may not bootstrap, and from
            other daemons.
        name: of its machine.
        zone: of its machine.
        address: IP:port where other processes reach it.
        is_bootstrapped: whether the sender knows a bootstrapped fleet.
        is_reply: whether this replies to a Hello; if not, the receiver sends one back.
        known_members: the voters or, before the bootstrap, the stores that the sender knows of.
        bootstrap_promise: the descriptors (JSON) of the members that the sender promised to
            bootstrap with; empty: none.
    """

    identity: str = ""
    name: str = ""
    zone: str = ""
    address: str = ""
    is_bootstrapped: bool = False
    is_reply: bool = False
    known_members: tuple[Member, ...] = ()
    bootstrap_promise: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardCommand:
    """A submitted command, forwarded by a store to the other voters."""

    command: Command = EMPTY_COMMAND


@dataclass(frozen=True, slots=True)
class SyncedIndex:
    """Reports that every decision below `slot` is synced to the sender's disk."""

    identity: str = ""
    slot: int = 0
