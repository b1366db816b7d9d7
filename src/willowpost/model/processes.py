"""Builds the processes of a model from the daemons' own controllers."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from willowpost.common.events import Received
from willowpost.common.events import Tick as TickEvent
from willowpost.common.plan import Plan
from willowpost.consensus.replica import restoration
from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.consensus.replica.records import (
    bootstrap_voters_record,
    decision_record,
    identity_record,
)
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.thresholds import Thresholds
from willowpost.model.logical_time import NOW, wall_clock
from willowpost.model.scope import Machine, Role, Scope
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.join import FleetJoin
from willowpost.node.node_state import NodeState
from willowpost.node.quorum_read import QuorumRead
from willowpost.state.codec import MEMBER, encode_operation
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.tables import Tables
from willowpost.store.node import StoreNode, StoreOptions
from willowpost.wire.messages import Command, Decision, Member

READER = "reader"
# An incarnation's number is so far above the previous one that no counter within it reaches the
# next, as with microseconds of a wall clock that is not stepped back.
_INCARNATION_STEP = 1_000
Record = dict[str, Any]
# Joining and failure detection put commands of their own into the log; the scopes give their
# outcome in the log's prefix instead.
NOT_MODELLED = (FleetJoin, FailureDetector)


@dataclass(frozen=True, slots=True)
class Addresses:
    """A fixed list of stores, nearest first, for a command client."""

    addresses: tuple[str, ...]

    def __call__(self) -> list[str]:
        """The addresses, nearest first."""
        return list(self.addresses)


class ReaderNode:
    """A process whose follower is kept fresh by its own quorum reads only, as in a registry."""

    def __init__(self, tables: Tables) -> None:
        descriptor = DaemonDescriptor(
            READER, "registry", "core", READER, "z", READER, "", incarnation_of(1)
        )
        self.node_state = NodeState(descriptor, tables)
        self.follower = Follower(self.node_state, (), may_poll_proxies=False)
        self.quorum_read = QuorumRead(self.node_state, self.follower)

    def step(self, event: Any, now: int) -> Plan:
        """Passes one event through the follower, then through the quorum read."""
        plan = Plan()
        if not isinstance(event, Received | TickEvent):
            return plan
        plan.join(self.follower.step(event, now))
        return plan.join(self.quorum_read.step(event, now))


def incarnation_of(incarnation_count: int) -> int:
    """The incarnation of a machine's first, second, ... process, counted from 1."""
    return incarnation_count * _INCARNATION_STEP


def identity_of(machine: str, disks_lost: int) -> str:
    """A new identity for each disk that the machine has had."""
    return f"{machine}#{disks_lost}"


def member_of(machine: Machine, disks_lost: int = 0) -> Member:
    """The machine's store as a member of the core; its address is the machine's name."""
    return Member(identity_of(machine.name, disks_lost), machine.name, machine.zone, machine.name)


def empty_disk(machine: Machine, disks_lost: int) -> list[Record]:
    """The records that a store writes to an empty folder before it sends anything."""
    return [{**identity_record(member_of(machine, disks_lost)), "may_bootstrap": False}]


def voters_of(scope: Scope) -> list[Machine]:
    """The machines that are the bootstrap members of the core."""
    return [machine for machine in scope.machines if machine.role is Role.VOTER]


def first_disk(scope: Scope, machine: Machine) -> list[Record]:
    """The machine's disk when the model begins."""
    match machine.role:
        case Role.EMPTY:
            return empty_disk(machine, 0)
        case Role.LEARNER:
            state = ReplicaState(member_of(machine))
            state.install_tables(first_tables(scope))
            state.log_floor = state.snapshot_slot = state.tables.slot
            return state.segment_records()
        case Role.VOTER:
            return _founded_disk(scope, machine)


def first_tables(scope: Scope) -> Tables:
    """The tables that follow from the bootstrap and the scope's log prefix."""
    voter = voters_of(scope)[0]
    state = ReplicaState(member_of(voter))
    restoration.restore_state(state, _founded_disk(scope, voter), NOW)
    return state.tables


def _founded_disk(scope: Scope, machine: Machine) -> list[Record]:
    voters = tuple(member_of(each) for each in voters_of(scope))
    records = [identity_record(member_of(machine)), bootstrap_voters_record(voters)]
    records += [decision_record(decision) for decision in prefix_decisions(scope)]
    return records


def prefix_decisions(scope: Scope) -> list[Decision]:
    """The decisions of the scope's log prefix: one command with all its operations."""
    if not scope.log_prefix:
        return []
    stored = [encode_operation(operation) for operation in scope.log_prefix]
    body = json.dumps(stored, separators=(",", ":"))
    command = Command("prefix", 1, 1, 0, body)
    return [Decision(0, command.key, command)]


def build_store(
    scope: Scope,
    machine: Machine,
    records: Sequence[Record],
    incarnation_count: int,
    thresholds: type[Thresholds],
) -> StoreNode:
    """A store process that starts from these records."""
    member = MEMBER.decode(records[0])
    seeds = tuple(each.name for each in voters_of(scope))
    node = StoreNode(
        StoreOptions(
            member=member,
            seeds=seeds,
            bootstrap_voters=len(seeds),
            incarnation=incarnation_of(incarnation_count),
            tuning=scope.tuning,
            thresholds=thresholds,
            voter_policy=VoterPolicy(may_bootstrap=False, max_voters=scope.max_voters),
        ),
        list(records),
        NOW,
        wall_clock,
    )
    node.controllers = [each for each in node.controllers if not isinstance(each, NOT_MODELLED)]
    return node


def build_client(name: str, stores: Sequence[str]) -> CommandClient:
    """A command client that contacts the stores in this order."""
    return CommandClient(name, 1, Addresses(tuple(stores)), wall_clock)


def build_reader(tables: Tables) -> ReaderNode:
    """A reader that starts with these tables."""
    return ReaderNode(tables)
