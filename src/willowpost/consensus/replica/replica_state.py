"""The state of one replica, shared by its controllers; only they change it.

What may be concluded from it about other replicas' disks stands in `barrier.py`, how it is rebuilt
from a disk in `restoration.py`.
"""

from dataclasses import dataclass, field, replace

from willowpost.common.duration_histogram import DurationHistogram
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import decision_bytes
from willowpost.consensus.pending_queue import PendingQueue
from willowpost.consensus.replica.record_types import BootstrapPromiseRecord, SnapshotRecord
from willowpost.consensus.replica.records import (
    ballot_state_record,
    decision_record,
    encode_record,
    identity_record,
    retained_decision_record,
)
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.consensus.thresholds import Thresholds
from willowpost.state.apply import StateMachine, is_decided
from willowpost.state.codec import JsonObject
from willowpost.state.snapshot_transfer import SnapshotReceiver, SnapshotSource
from willowpost.state.tables import Tables
from willowpost.wire.messages import BallotState, Command, Decision, Member, SyncedIndex

DECIDED_AGE_BOUNDS_MS = (5, 10, 20, 50, 100, 200, 500, 1000, 2000, 3000, 5000, 10_000)


@dataclass(slots=True)
class VotingStatistics:
    """What this process has seen decided since its start.

    Attributes:
        decided: slots.
        null: of these, slots that were forfeited.
        decided_by_votes: slots that this replica decided by votes, not by catching up.
        fast_path: of these, slots decided in the first phase (Rabia, section 3.5).
        phases: that the slots decided by votes took together.
        expired: commands that nobody needed any more before they were decided.
        decided_ages: how long commands had waited here when a slot decided them.
    """

    decided: int = 0
    null: int = 0
    decided_by_votes: int = 0
    fast_path: int = 0
    phases: int = 0
    expired: int = 0
    decided_ages: DurationHistogram = field(
        default_factory=lambda: DurationHistogram(DECIDED_AGE_BOUNDS_MS)
    )

    def count_decision(self, decision: Decision) -> None:
        """Count a decided slot."""
        self.decided += 1
        self.null += not decision.key

    def count_verdict(self, phase: int) -> None:
        """Count a slot that this replica decided by votes in this phase."""
        self.decided_by_votes += 1
        self.fast_path += phase == 1
        self.phases += phase


@dataclass(slots=True)
class ReplicaState:
    """The state of one replica.

    Invariants:

    - `own_ballot_state` is synced to disk before any of it is sent; it only grows while its slot is
      open.
    - `log` holds every decision from `log_floor` to `tables.slot - 1`.
    - `synced_indexes[i]` is a slot below which member i has reported all decisions synced.
    - `ballot_states` holds only ballot states of voters of the epoch in force, for `tables.slot`.
    - `early_ballot_states` holds ballot states of later slots, by slot and then identity.

    Attributes:
        member: this store.
        tuning: its intervals and limits.
        thresholds: the quorum sizes for a number of voters.
        tables: the applied log.
        log: decisions by slot.
        log_floor: the first slot whose decision is kept.
        pending_commands: commands that wait for a slot.
        own_ballot_state: in the open slot; None: nothing was proposed yet.
        ballot_states: in the open slot, by identity, the own one included.
        ballot_states_since: when the first one of the slot came, or the slot before was decided;
            µs, own clock.
        early_ballot_states: of later slots, by slot and identity.
        synced_indexes: by identity.
        passed_epoch: the last epoch whose opening barrier was passed.
        snapshot_slot: of the last snapshot on disk.
        appended_bytes: of commands, since the last snapshot.
        incoming_snapshot: the transfer from another store.
        outgoing_snapshot: the transfers to other daemons.
        bootstrap_promise: the promised members as JSON texts; empty: none was promised.
        voter_addresses: of the epoch in force, by identity.
        fresh_as_of: everything accepted before is applied here; µs, own clock; None: not known.
        statistics: of this process.
    """

    member: Member
    tuning: ReplicaTuning = field(default_factory=ReplicaTuning)
    thresholds: type[Thresholds] = Thresholds
    tables: Tables = field(default_factory=Tables)
    log: dict[int, Decision] = field(default_factory=dict)
    log_floor: int = 0
    pending_commands: PendingQueue = field(default_factory=PendingQueue)
    own_ballot_state: BallotState | None = None
    ballot_states: dict[str, BallotState] = field(default_factory=dict)
    ballot_states_since: int = 0
    early_ballot_states: dict[int, dict[str, BallotState]] = field(default_factory=dict)
    synced_indexes: dict[str, int] = field(default_factory=dict)
    passed_epoch: int = 0
    snapshot_slot: int = 0
    appended_bytes: int = 0
    incoming_snapshot: SnapshotReceiver = field(default_factory=SnapshotReceiver)
    outgoing_snapshot: SnapshotSource = field(default_factory=SnapshotSource)
    bootstrap_promise: tuple[str, ...] = ()
    voter_addresses: dict[str, str] = field(default_factory=dict)
    fresh_as_of: int | None = None
    statistics: VotingStatistics = field(default_factory=VotingStatistics)

    @property
    def is_bootstrapped(self) -> bool:
        """Whether this store has the tables of a bootstrapped fleet."""
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
        """Return the addresses of the voters of the epoch in force, without this store."""
        return [
            address
            for identity, address in self.voter_addresses.items()
            if identity != self.member.identity
        ]

    def is_decided(self, command: Command) -> bool:
        """Whether the command is in the log, or barred from it for ever."""
        return is_decided(self.tables, command)

    # Synced indexes

    def record_synced_index(self, identity: str, slot: int) -> None:
        """Record that a member holds every slot below `slot`; an index never goes back."""
        self.synced_indexes[identity] = max(self.synced_indexes.get(identity, 0), slot)

    def highest_synced_index(self) -> int:
        """Return the highest index that a voter of the epoch in force has reported."""
        return max(
            (self.synced_indexes.get(identity, 0) for identity in self.voter_addresses), default=0
        )

    def forget_unknown_identities(self) -> None:
        """Drop the synced indexes of all but the voters and the voters before them."""
        known = {*self.voter_addresses, *self.tables.previous_voter_identities()}
        self.synced_indexes = {
            identity: slot for identity, slot in self.synced_indexes.items() if identity in known
        }
        self.synced_indexes[self.member.identity] = self.tables.slot

    # Tables and log

    def enter_first_epoch(self, voters: tuple[Member, ...]) -> None:
        """Enter epoch 1 with these voters."""
        self.install_tables(replace(Tables(), epoch=1, voters=voters))

    def install_tables(self, tables: Tables) -> None:
        """Replace the tables, and reset what depends on their epoch and slot."""
        self.tables = tables
        self.voter_addresses = {voter.identity: voter.address for voter in tables.voters}
        self.own_ballot_state = None
        arrived = self.early_ballot_states.pop(tables.slot, {})
        self.ballot_states = {
            identity: ballot_state
            for identity, ballot_state in arrived.items()
            if identity in self.voter_addresses and ballot_state.epoch == tables.epoch
        }
        self.early_ballot_states = {
            slot: ballot_states
            for slot, ballot_states in self.early_ballot_states.items()
            if slot > tables.slot
        }
        self.synced_indexes[self.member.identity] = tables.slot

    def commit(self, decision: Decision, plan: Plan) -> None:
        """Apply a decision of slot `tables.slot`, write it to disk and report the new synced index.

        The command is left out of the record if the own ballot state has written it already.
        """
        proposed = self.own_ballot_state.command if self.own_ballot_state else None
        is_written = proposed is not None and proposed.key == decision.key
        plan.records.append(decision_record(decision, with_command=not is_written))
        self.apply_decision(decision)
        plan.sends += [
            (address, SyncedIndex(self.member.identity, self.tables.slot))
            for address in self.other_addresses()
        ]

    def apply_decision(self, decision: Decision) -> None:
        """Apply a decision of slot `tables.slot` to the log and the tables, without any output.

        Raises:
            ValueError: the decision is of another slot.
        """
        self.log[decision.slot] = decision
        if decision.key:
            self.pending_commands.drop(decision.key)
        self.appended_bytes += decision_bytes(decision)
        self.statistics.count_decision(decision)
        self.install_tables(StateMachine().apply(self.tables, decision))

    # Disk segments

    def begin_segment(self, plan: Plan) -> None:
        """Plan a new disk segment; it replaces the records that the plan would append."""
        self.snapshot_slot, self.appended_bytes = self.tables.slot, 0
        plan.rotate = self.segment_records()
        plan.records.clear()

    def segment_records(self) -> list[JsonObject]:
        """Return the records of a new disk segment: everything this store must keep."""
        records = [identity_record(self.member)]
        if self.bootstrap_promise:
            records.append(encode_record(BootstrapPromiseRecord(self.bootstrap_promise)))
        snapshot = SnapshotRecord(self.tables.text(), self.log_floor, self.passed_epoch)
        records.append(encode_record(snapshot))
        records += [retained_decision_record(self.log[slot]) for slot in sorted(self.log)]
        if self.own_ballot_state:
            records.append(ballot_state_record(self.own_ballot_state, with_command=True))
        return records
