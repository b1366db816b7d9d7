"""One store: its controllers and the state that they share."""

from willowpost.common.controller import Controller
from willowpost.common.plan import Plan
from willowpost.consensus.replica.acceptance import Acceptance
from willowpost.consensus.replica.barrier import FormerVoter
from willowpost.consensus.replica.bootstrap import Bootstrap, VoterPolicy
from willowpost.consensus.replica.catchup import Catchup
from willowpost.consensus.replica.compaction import Compaction
from willowpost.consensus.replica.missed_change import MissedChange
from willowpost.consensus.replica.quorum_reads import Reads
from willowpost.consensus.replica.replica_state import ReplicaState, ReplicaTuning
from willowpost.consensus.replica.voting import Voting
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.join import FleetJoin
from willowpost.state.entries import DaemonDescriptor
from willowpost.store.graceful_shutdown import StoreShutdown
from willowpost.store.voter_repair import VoterRepair
from willowpost.wire.messages import Member


class StoreNode:
    """A store without input or output; its state changes only in step()."""

    def __init__(
        self,
        me: Member,
        seeds,
        size: int,
        records: list,
        now: int,
        wall,
        incarnation: int,
        pace: ReplicaTuning = ReplicaTuning(),
        thresholds=Thresholds,
        http: str = "",
        rights: VoterPolicy = VoterPolicy(),
    ):
        self.node_state = ReplicaState(me, pace, thresholds)
        self.node_state.restore(records, now)
        self.command_client = CommandClient(me.identity, incarnation, self._cores, wall)
        self.descriptor = DaemonDescriptor(
            me.identity, "store", "core", me.name, me.zone, me.address, http, incarnation
        )
        repair = VoterRepair(self.node_state, self.command_client, incarnation, rights.max_voters)
        joiner = FleetJoin(self.descriptor, self._tables, self.command_client)
        self.shutdown = StoreShutdown(
            self.node_state, self.command_client, joiner, repair, incarnation
        )
        self.controllers: list[Controller] = [
            Bootstrap(self.node_state, tuple(seeds), size, rights),
            Catchup(self.node_state),
            MissedChange(self.node_state),
            Voting(self.node_state),
            Acceptance(self.node_state),
            Reads(self.node_state, incarnation),
            Compaction(self.node_state),
            self.command_client,
            FormerVoter(self.node_state),
            repair,
            FailureDetector(self.descriptor, self._tables, self.command_client),
            joiner,
            self.shutdown,
        ]

    def step(self, event, now: int) -> Plan:
        """Pass one event at `now` (µs, own clock) to every controller; returns their joint plan."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan

    def _tables(self):
        return self.node_state.tables

    def _cores(self):
        mine = [self.node_state.member.address] if self.node_state.is_voter else []
        return mine + self.node_state.other_addresses()
