"""The state of one store, shared by its controllers; only they change it."""

from dataclasses import dataclass, field, replace

from willowpost.common.clock import MILLI
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import size_of
from willowpost.consensus.pending_queue import PendingQueue
from willowpost.consensus.replica.barrier import is_passed, previous_identities, quorum_index
from willowpost.consensus.replica.records import (
    RecordKind,
    ballot_state_record,
    bootstrap_promise_record,
    command_from,
    decision_from,
    decision_record,
    founding_voters,
    identity_record,
    kept_record,
    snapshot_record,
)
from willowpost.consensus.thresholds import Thresholds
from willowpost.state.apply import StateMachine, is_decided
from willowpost.state.snapshot_transfer import SnapshotReceiver, SnapshotSource
from willowpost.state.tables import Tables, tables_from
from willowpost.wire.messages import BallotState, Command, Decision, Member, SyncedIndex


@dataclass(frozen=True, slots=True)
class ReplicaTuning:
    """Intervals in µs, and limits of the log in decisions and bytes; settings may change them.

    Attributes:
        resend: after which the current ballot state is sent again.
        freeze: how long a command waits for proposals of others before it is proposed.
        synced_index: between two reports of the own synced index.
        ask: between two requests for missing decisions.
        read: between two quorum reads.
        hello: between two greetings while the fleet is not bootstrapped.
        keep: decisions kept for laggards beyond what must be kept.
        keep_bytes: at most so many bytes of them.
        rotate: decisions between two snapshots.
        rotate_bytes: bytes appended between two snapshots.
    """

    resend: int = 60 * MILLI
    freeze: int = 0
    synced_index: int = 100 * MILLI
    ask: int = 40 * MILLI
    read: int = 150 * MILLI
    hello: int = 200 * MILLI
    keep: int = 512  # decisions kept for laggards beyond what must be kept
    keep_bytes: int = 8 * 1024 * 1024  # and at most so many bytes of them
    rotate: int = 2048  # decisions between two snapshots
    rotate_bytes: int = 16 * 1024 * 1024  # bytes appended between two snapshots


@dataclass(slots=True)
class ReplicaState:
    """The state of one store.

    Invariants:

    - `own` is synced to disk before any of it is sent; it only grows while its slot is open.
    - `log` holds every decision from `log_floor` to `tables.slot - 1`.
    - `synced_indexes[i]` is a slot below which member i has reported all decisions synced.
    - `heard` holds only ballot states of members of the epoch in force, for slot `tables.slot`.
    - `early` holds ballot states of later slots, by slot and then identity.
    """

    member: Member
    tuning: ReplicaTuning = ReplicaTuning()
    thresholds: type = Thresholds
    tables: Tables = field(default_factory=Tables)
    log: dict = field(default_factory=dict)
    log_floor: int = 0
    pending_commands: PendingQueue = field(default_factory=PendingQueue)
    own_ballot_state: BallotState | None = None
    ballot_states: dict = field(default_factory=dict)
    ballot_states_since: int = 0
    early_ballot_states: dict = field(default_factory=dict)
    synced_indexes: dict = field(default_factory=dict)
    passed_epoch: int = 0  # the last epoch whose opening barrier was passed
    snapshot_slot: int = 0  # slot of the last snapshot
    appended_bytes: int = 0  # of commands, since the last snapshot
    incoming_snapshot: SnapshotReceiver = field(default_factory=SnapshotReceiver)
    outgoing_snapshot: SnapshotSource = field(default_factory=SnapshotSource)
    bootstrap_promise: tuple = ()
    voter_addresses: dict = field(
        default_factory=dict
    )  # identity -> address, of the epoch in force
    fresh_as_of: int | None = None  # own clock: all accepted before it is applied here
    stats: dict = field(
        default_factory=lambda: {"decided": 0, "null": 0, "voted": 0, "fast": 0, "phases": 0}
    )

    @property
    def is_bootstrapped(self) -> bool:
        """Whether this store holds the tables of a bootstrapped fleet."""
        return self.tables.epoch > 0

    @property
    def is_voter(self) -> bool:
        """Whether this store votes in the epoch in force."""
        return self.member.identity in self.voter_addresses

    @property
    def quorum_sizes(self) -> Thresholds:
        """The thresholds of the epoch in force."""
        return self.thresholds(len(self.tables.voters))

    def other_addresses(self) -> list[str]:
        """Addresses of the voters of the epoch in force, without this store."""
        return [
            address
            for identity, address in self.voter_addresses.items()
            if identity != self.member.identity
        ]

    def record_synced_index(self, identity: str, slot: int) -> None:
        """Record that a member holds every slot below `slot`; it never goes back."""
        self.synced_indexes[identity] = max(self.synced_indexes.get(identity, 0), slot)

    def safe_slot(self) -> int:
        """Return the slot below which everything is synced on n - f voters.

        It stays so if the replaced voters are lost. Until the barrier of the epoch in force is
        passed, n - f of the former voters must hold it as well: a reader that has not heard of the
        change asks those.
        """
        index = quorum_index(self.voter_addresses, self.synced_indexes, self.thresholds)
        if is_passed(self):
            return index
        former = previous_identities(self.tables)
        return min(index, quorum_index(former, self.synced_indexes, self.thresholds))

    def is_decided(self, command: Command) -> bool:
        """Whether the command is in the log, or barred from it for ever."""
        return is_decided(self.tables, command)

    def install_tables(self, tables: Tables) -> None:
        """Replace the tables, and reset what depends on their epoch and slot."""
        self.tables = tables
        self.voter_addresses = {voter.identity: voter.address for voter in tables.voters}
        self.own_ballot_state, self.ballot_states = None, {}
        arrived = self.early_ballot_states.pop(tables.slot, {})
        self.ballot_states = {
            identity: ballot_state
            for identity, ballot_state in arrived.items()
            if identity in self.voter_addresses and ballot_state.epoch == tables.epoch
        }
        self.early_ballot_states = {
            slot: held for slot, held in self.early_ballot_states.items() if slot > tables.slot
        }
        self.synced_indexes[self.member.identity] = tables.slot

    def commit(self, decision: Decision, plan: Plan) -> None:
        """Apply a decision of slot `tables.slot`, write it to disk and report the new synced index.

        The command's body is left out of the record if the own ballot state has written it already.
        """
        proposed = self.own_ballot_state is not None and self.own_ballot_state.command is not None
        written = proposed and self.own_ballot_state.command.key == decision.key
        plan.records.append(decision_record(decision, whole=not written))
        self.replay(decision)
        plan.sends += [
            (address, SyncedIndex(self.member.identity, self.tables.slot))
            for address in self.other_addresses()
        ]

    def replay(self, decision: Decision) -> None:
        """Apply a decision of slot `tables.slot` to the log and the tables, without any output.

        Raises:
            ValueError: the decision is of another slot.
        """
        self.log[decision.slot] = decision
        if decision.key:
            self.pending_commands.drop(decision.key)
        self.appended_bytes += size_of(decision)
        self.stats["decided"] += 1
        self.stats["null"] += not decision.key
        self.install_tables(StateMachine().apply(self.tables, decision))

    def begin_segment(self, plan: Plan) -> None:
        """Plan a new disk segment; it replaces the records that the plan would append."""
        self.snapshot_slot, self.appended_bytes = self.tables.slot, 0
        plan.rotate = self.segment_records()
        plan.records.clear()

    def forget_unknown_identities(self) -> None:
        """Drop synced indexes of all but the voters and the voters before them."""
        known = {*self.voter_addresses, *previous_identities(self.tables)}
        self.synced_indexes = {
            identity: slot for identity, slot in self.synced_indexes.items() if identity in known
        }
        self.synced_indexes[self.member.identity] = self.tables.slot

    def segment_records(self) -> list[dict]:
        """Return the records of a new disk segment: everything this store must keep."""
        records = [identity_record(self.member)]
        if self.bootstrap_promise:
            records.append(bootstrap_promise_record(self.bootstrap_promise))
        records.append(snapshot_record(self.tables.text(), self.log_floor, self.passed_epoch))
        records += [kept_record(self.log[slot]) for slot in sorted(self.log)]
        if self.own_ballot_state:
            records.append(ballot_state_record(self.own_ballot_state, True))
        return records

    def restore(self, records: list[dict], now: int) -> None:
        """Rebuild the state from the records on disk.

        Args:
            records: oldest first, each as `records.py` makes it.
            now: µs, own clock.
        """
        readers = {
            RecordKind.IDENTITY: lambda held: None,
            RecordKind.BOOTSTRAP_PROMISE: self._bootstrap_promise,
            RecordKind.FOUND: self._founding,
            RecordKind.SNAPSHOT: self._snapshot,
            RecordKind.KEPT: self._kept,
            RecordKind.DECISION: self._decision,
            RecordKind.BALLOT_STATE: self._ballot_state,
            RecordKind.PASSED: self._passed,
        }
        for record in records:
            readers[record["k"]](record)
        if self.own_ballot_state and self.own_ballot_state.command:
            self.pending_commands.push(self.own_ballot_state.command, now)
        if self.own_ballot_state:
            self.ballot_states[self.member.identity] = self.own_ballot_state

    def _bootstrap_promise(self, held):
        self.bootstrap_promise = tuple(held["members"])

    def _founding(self, held):
        self.enter_first_epoch(founding_voters(held))

    def enter_first_epoch(self, voters: tuple[Member, ...]) -> None:
        """Enter epoch 1 with these voters."""
        self.install_tables(replace(Tables(), epoch=1, voters=voters))

    def _snapshot(self, held):
        self.log = {}
        self.install_tables(tables_from(held["text"]))
        self.log_floor, self.snapshot_slot, self.passed_epoch = (
            held["log_floor"],
            self.tables.slot,
            held["passed"],
        )

    def _kept(self, held):
        self.log[held["slot"]] = decision_from(held)

    def _decision(self, held):
        self.replay(
            decision_from(held, self.own_ballot_state.command if self.own_ballot_state else None)
        )

    def _passed(self, held):
        self.passed_epoch = held["epoch"]

    def _ballot_state(self, held):
        command = command_from(held["command"])
        if (
            command is None
            and self.own_ballot_state is not None
            and self.own_ballot_state.slot == held["slot"]
        ):
            command = self.own_ballot_state.command
        self.own_ballot_state = BallotState(
            self.member.identity,
            held["epoch"],
            held["slot"],
            held["proposal"],
            command,
            tuple(held["states"]),
            tuple(held["votes"]),
            agreed=held.get("agreed", ""),
        )
