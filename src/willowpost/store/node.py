"""One store: its controllers and the state that they share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from willowpost.common.controller import Controller
from willowpost.common.plan import Plan
from willowpost.consensus.replica import restoration
from willowpost.consensus.replica.acceptance import Acceptance
from willowpost.consensus.replica.bootstrap import Bootstrap, VoterPolicy
from willowpost.consensus.replica.catchup import Catchup
from willowpost.consensus.replica.compaction import Compaction
from willowpost.consensus.replica.epoch_discovery import EpochDiscovery
from willowpost.consensus.replica.previous_voter import PreviousVoter
from willowpost.consensus.replica.quorum_reads import QuorumReads
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.consensus.replica.voting import Voting
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.join import FleetJoin
from willowpost.node.tables_check import TablesCheck
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.tables import Tables
from willowpost.store.graceful_shutdown import StoreShutdown
from willowpost.store.voter_repair import VoterRepair
from willowpost.wire.messages import Member


@dataclass(frozen=True, slots=True)
class StoreOptions:
    """What a store is started with.

    Attributes:
        member: this store as a member of the core; its identity is that of its disk.
        seeds: addresses to greet while the fleet is not bootstrapped or no voter answers.
        bootstrap_voters: how many stores bootstrap the fleet together.
        incarnation: of this process: µs of the wall clock at its start.
        tuning: intervals, and limits of the log.
        thresholds: the sizes of quorums.
        http_address: IP:port of its HTTP server; empty: none.
        voter_policy: what it may do to the set of voters.
    """

    member: Member
    seeds: tuple[str, ...]
    bootstrap_voters: int
    incarnation: int
    tuning: ReplicaTuning = field(default_factory=ReplicaTuning)
    thresholds: type[Thresholds] = Thresholds
    http_address: str = ""
    voter_policy: VoterPolicy = field(default_factory=VoterPolicy)

    def descriptor(self) -> DaemonDescriptor:
        """Return the store as it describes itself to the fleet."""
        return DaemonDescriptor(
            id=self.member.identity,
            kind="store",
            role="core",
            name=self.member.name,
            zone=self.member.zone,
            address=self.member.address,
            http=self.http_address,
            incarnation=self.incarnation,
        )


class StoreNode:
    """A store without input or output; its state changes only in step().

    Args:
        options: see `StoreOptions`.
        records: of its disk, the oldest first.
        now: µs, own clock.
        wall_clock: returns µs of the wall clock, which may jump.
    """

    def __init__(
        self,
        options: StoreOptions,
        records: list[dict[str, Any]],
        now: int,
        wall_clock: Callable[[], int],
    ) -> None:
        self.node_state = ReplicaState(options.member, options.tuning, options.thresholds)
        restoration.restore_state(self.node_state, records, now)
        self.descriptor = options.descriptor()
        self.command_client = CommandClient(
            options.member.identity, options.incarnation, self._store_addresses, wall_clock
        )
        fleet_join = FleetJoin(self.descriptor, self._tables, self.command_client)
        voter_repair = VoterRepair(
            self.node_state,
            self.command_client,
            options.incarnation,
            options.voter_policy.max_voters,
        )
        self.shutdown = StoreShutdown(
            self.node_state, self.command_client, fleet_join, voter_repair, options.incarnation
        )
        self.tables_check = TablesCheck(self._tables)
        # Their order is the order of what they send.
        self.controllers: list[Controller] = [
            *self._consensus_controllers(options),
            self.command_client,
            PreviousVoter(self.node_state),
            voter_repair,
            FailureDetector(self.descriptor, self._tables, self.command_client),
            fleet_join,
            self.shutdown,
            self.tables_check,
        ]

    def _consensus_controllers(self, options: StoreOptions) -> list[Controller]:
        state = self.node_state
        return [
            Bootstrap(state, options.seeds, options.bootstrap_voters, options.voter_policy),
            Catchup(state),
            EpochDiscovery(state),
            Voting(state),
            Acceptance(state),
            QuorumReads(state, options.incarnation),
            Compaction(state),
        ]

    def step(self, event: Any, now: int) -> Plan:
        """Pass one event at `now` (µs, own clock) to every controller; returns their joint plan."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan

    def _tables(self) -> Tables:
        return self.node_state.tables

    def _store_addresses(self) -> list[str]:
        own = [self.node_state.member.address] if self.node_state.is_voter else []
        return own + self.node_state.other_addresses()
