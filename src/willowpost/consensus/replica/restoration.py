"""Rebuilds a replica's state from the records on its disk."""

from collections.abc import Iterable

from willowpost.consensus.replica.record_types import (
    BallotStateRecord,
    BarrierPassedRecord,
    BootstrapPromiseRecord,
    BootstrapVotersRecord,
    DecisionRecord,
    Record,
    RetainedDecisionRecord,
    SnapshotRecord,
)
from willowpost.consensus.replica.records import decode_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.codec import JsonObject
from willowpost.state.tables import tables_from
from willowpost.wire.messages import BallotState, Command, Member


def restore_state(node_state: ReplicaState, records: Iterable[JsonObject], now: int) -> None:
    """Rebuild the state from the records on disk.

    Args:
        node_state: a new one of this store.
        records: oldest first, as `records.py` makes them.
        now: µs, own clock.
    """
    for stored in records:
        _restore_record(node_state, decode_record(stored))
    ballot_state = node_state.own_ballot_state
    if ballot_state is None:
        return
    if ballot_state.command is not None:
        node_state.pending_commands.push(ballot_state.command, now)
    node_state.ballot_states[node_state.member.identity] = ballot_state


def _restore_record(node_state: ReplicaState, record: Record) -> None:
    match record:
        case Member():
            pass  # the caller read it to make the state
        case BootstrapPromiseRecord(members):
            node_state.bootstrap_promise = members
        case BootstrapVotersRecord(voters):
            node_state.enter_first_epoch(voters)
        case SnapshotRecord():
            _restore_snapshot(node_state, record)
        case RetainedDecisionRecord(slot):
            node_state.log[slot] = record.decision()
        case DecisionRecord():
            node_state.apply_decision(record.decision(_proposed_command(node_state)))
        case BallotStateRecord():
            node_state.own_ballot_state = _ballot_state(node_state, record)
        case BarrierPassedRecord(epoch):
            node_state.passed_epoch = epoch


def _restore_snapshot(node_state: ReplicaState, record: SnapshotRecord) -> None:
    node_state.log = {}
    node_state.install_tables(tables_from(record.text))
    node_state.log_floor = record.log_floor
    node_state.snapshot_slot = node_state.tables.slot
    node_state.passed_epoch = record.passed_epoch


def _proposed_command(node_state: ReplicaState) -> Command | None:
    return node_state.own_ballot_state.command if node_state.own_ballot_state else None


def _ballot_state(node_state: ReplicaState, record: BallotStateRecord) -> BallotState:
    """Return the ballot state; its command may stand in an earlier record of the same slot."""
    command = record.command
    earlier = node_state.own_ballot_state
    if command is None and earlier is not None and earlier.slot == record.slot:
        command = earlier.command
    return BallotState(
        node_state.member.identity,
        record.epoch,
        record.slot,
        record.proposal,
        command,
        record.states,
        record.votes,
        agreed=record.agreed,
    )
