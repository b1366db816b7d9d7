"""The entries of the replicated tables, as immutable values.

Their names in stored and transferred JSON stand in `state/codec/` alone.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from willowpost.state.lifecycle import STATES_IN_FORCE, DaemonState, OriginState
from willowpost.state.results import Result
from willowpost.wire.messages import Member


@dataclass(frozen=True, slots=True)
class DaemonDescriptor:
    """A daemon as it describes itself; `id` and `incarnation` name one run of one process.

    Attributes:
        id: unique in the fleet; a store's is lost with its disk.
        kind: store, registry or proxy.
        role: edge, shield or core.
        name: of its machine.
        zone: where the machine is.
        address: IP:port where its peers reach it.
        http: IP:port of its HTTP server; empty: none.
        incarnation: µs of the wall clock at its start.
    """

    id: str
    kind: str
    role: str
    name: str
    zone: str
    address: str
    http: str
    incarnation: int

    @property
    def incarnation_id(self) -> str:
        """The name of this run of the process: id@incarnation."""
        return f"{self.id}@{self.incarnation}"


@dataclass(frozen=True, slots=True)
class VoterOffer:
    """A learner's offer to become a voter.

    Attributes:
        slot: that recorded the offer.
        max_voters: how many voters the learner lets the core grow to.
    """

    slot: int
    max_voters: int


@dataclass(frozen=True, slots=True)
class DaemonEntry(DaemonDescriptor):
    """A daemon that joined the fleet.

    Attributes:
        state: see `DaemonState`.
        since_slot: the slot in which this incarnation joined.
        voter_offer: a learner's standing offer to vote; None: none.
    """

    state: DaemonState = DaemonState.UP
    since_slot: int = 0
    voter_offer: VoterOffer | None = None

    def as_member(self) -> Member:
        """Return the entry of a store as a voter."""
        return Member(self.id, self.name, self.zone, self.address)


@dataclass(frozen=True, slots=True)
class PreviousVoters:
    """The voters before the last change of the voters.

    Attributes:
        slot: that changed them; the epoch's first slot is the next one.
        voters: of the epoch before.
    """

    slot: int
    voters: tuple[Member, ...]

    def identities(self) -> tuple[str, ...]:
        """Return the identities of these voters."""
        return tuple(voter.identity for voter in self.voters)


@dataclass(frozen=True, slots=True)
class OriginEntry:
    """A registered incarnation of an origin.

    Attributes:
        service: that it serves.
        address: IP:port where it serves.
        zone: where it is.
        rate: requests per second that it can take.
        slow_start_rate: requests per second while it warms up.
        slot: that registered it.
        state: see `OriginState`.
        token: names the incarnation of its process; None: it has no name.
        slots: how many requests it works on at once; 0: not reported.
        heartbeat_number: of the last heartbeat that changed the entry; 0: none.
        reports_warm_up: whether its heartbeats say for how long it still warms up.
        warming_up_since_slot: the slot that last let it warm up again; None: none did.
    """

    service: str
    address: str
    zone: str
    rate: float
    slow_start_rate: float
    slot: int
    state: OriginState
    token: str | None = None
    slots: int = 0
    heartbeat_number: int = 0
    reports_warm_up: bool = False
    warming_up_since_slot: int | None = None

    @property
    def is_in_force(self) -> bool:
        """Whether it takes new requests, unless its zone is evacuated."""
        return self.state in STATES_IN_FORCE


@dataclass(frozen=True, slots=True)
class AddressBinding:
    """What an origin's address last served, and by which incarnations.

    Attributes:
        service: the service.
        slot: of the last registration; 0 if an earlier build did not record it.
        tokens: of the last incarnations at the address, in the order in which each registered there
            first. Processes at one address follow each other, so one that was seen before another
            has ended when the other registers.
    """

    service: str
    slot: int | None = None
    tokens: tuple[str, ...] = ()

    def is_succeeded(self, token: str | None, successor: str | None) -> bool:
        """Whether `successor` was first seen at the address after `token`."""
        if token not in self.tokens or successor not in self.tokens:
            return False
        return self.tokens.index(token) < self.tokens.index(successor)


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The configuration in force.

    Attributes:
        version: its number; 0 before the first one.
        tree: the checked document; None before the first one.
        source: the operator's own document that the tree was made from; None: none was given.
    """

    version: int = 0
    tree: dict[str, Any] | None = None
    source: str | None = None

    @property
    def services(self) -> dict[str, Any]:
        """The services by name; empty before the first configuration."""
        services: dict[str, Any] = (self.tree or {}).get("services") or {}
        return services


class PurgeKind(StrEnum):
    """What a purge names: one path, all paths with a prefix, all paths of a host, or a tag."""

    ITEM = "item"
    PREFIX = "prefix"
    ALL = "all"
    TAG = "tag"


@dataclass(frozen=True, slots=True)
class Purge:
    """A purge of cached responses.

    Attributes:
        slot: that accepted it; responses of requests begun earlier are not served any more.
        host: "*" for every host.
        kind: what `path` is.
        path: the path or prefix; the tag for kind TAG; empty for ALL.
    """

    slot: int
    host: str
    kind: str
    path: str


class EvacuationScope(StrEnum):
    """What an evacuated zone gives up: everything, or only its origins."""

    ALL = "all"
    ORIGINS = "origins"


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """The last order about a zone.

    Attributes:
        is_evacuated: False once the zone was restored.
        slot: of the order.
        scope: what was evacuated.
    """

    is_evacuated: bool
    slot: int
    scope: str


@dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns a singleton role.

    Attributes:
        owner: id of the daemon; empty: nobody yet.
        fencing_token: grows by one with each owner.
    """

    owner: str = ""
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class FailureVerdict:
    """A daemon that its watchers declared lost.

    Attributes:
        slot: of the verdict.
        daemon: its id.
        name: of its machine.
        kind: store, registry or proxy.
        zone: where the machine is.
        repaired_slot: the slot in which it, or its successor, was up again; None: not yet.
    """

    slot: int
    daemon: str
    name: str
    kind: str
    zone: str
    repaired_slot: int | None = None


@dataclass(frozen=True, slots=True)
class RecordedResults:
    """What a command led to: the slot that applied it and a result for each operation."""

    slot: int
    results: tuple[Result, ...]


@dataclass(frozen=True, slots=True)
class CommandHistory:
    """What the log remembers of one daemon's commands.

    Attributes:
        incarnation: the newest one that submitted a command.
        floor: every command of it with a counter up to here was applied, or never will be.
        results: of the last commands above the floor, by counter.
    """

    incarnation: int
    floor: int
    results: dict[int, RecordedResults]

    def last_slot(self) -> int:
        """Return the slot of the last command whose results are kept; -1: none."""
        return max((recorded.slot for recorded in self.results.values()), default=-1)
