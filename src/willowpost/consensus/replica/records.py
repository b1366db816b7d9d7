"""The stored forms of the records that a store writes to its disk.

A record on disk is a JSON object whose `k` names its kind. The stored names stand in `RECORDS` and
`RecordKind` alone and are never changed: a store reads the disks of earlier builds.
"""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Any

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
from willowpost.state.codec import (
    MEMBER,
    JsonObject,
    RecordCodec,
    StoredField,
    decode_members,
    encode_members,
)
from willowpost.wire.messages import BallotState, Command, Decision, Member

KIND_NAME = "k"  # of the field that names a record's kind


class RecordKind(StrEnum):
    """The kind of a record on disk; the value is what is written."""

    IDENTITY = "identity"  # the first one of each segment
    BOOTSTRAP_PROMISE = "bootstrap_promise"
    FOUND = "found"  # the voters of the first epoch
    SNAPSHOT = "snapshot"
    KEPT = "kept"  # a decision below the snapshot's slot, for replicas that are behind
    DECISION = "decision"  # one after the snapshot
    BALLOT_STATE = "ballot_state"
    PASSED = "passed"  # the opening barrier of an epoch


COMMAND = RecordCodec(
    Command,
    {
        "daemon": StoredField("daemon"),
        "incarnation": StoredField("incarnation"),
        "counter": StoredField("counter"),
        "stamp": StoredField("stamp"),
        "body": StoredField("body"),
    },
)


def command_from(stored: JsonObject | None) -> Command | None:
    """Return the command of a record, or None if it has none."""
    return None if stored is None else COMMAND.decode(stored)


def _stored_command(command: Command | None) -> JsonObject | None:
    return None if command is None else COMMAND.encode(command)


_COMMAND_FIELD = StoredField("command", encode=_stored_command, decode=command_from)
_DECISION_FIELDS = {
    "slot": StoredField("slot"),
    "key": StoredField("key"),
    "command": _COMMAND_FIELD,
}

RECORDS: Mapping[RecordKind, RecordCodec[Any]] = MappingProxyType(
    {
        RecordKind.IDENTITY: MEMBER,
        RecordKind.BOOTSTRAP_PROMISE: RecordCodec(
            BootstrapPromiseRecord, {"members": StoredField("members", encode=list, decode=tuple)}
        ),
        RecordKind.FOUND: RecordCodec(
            BootstrapVotersRecord,
            {"voters": StoredField("core", encode=encode_members, decode=decode_members)},
        ),
        RecordKind.SNAPSHOT: RecordCodec(
            SnapshotRecord,
            {
                "text": StoredField("text"),
                "log_floor": StoredField("log_floor"),
                "passed_epoch": StoredField("passed"),
            },
        ),
        RecordKind.KEPT: RecordCodec(RetainedDecisionRecord, _DECISION_FIELDS),
        RecordKind.DECISION: RecordCodec(DecisionRecord, _DECISION_FIELDS),
        RecordKind.BALLOT_STATE: RecordCodec(
            BallotStateRecord,
            {
                "epoch": StoredField("epoch"),
                "slot": StoredField("slot"),
                "proposal": StoredField("proposal"),
                "command": _COMMAND_FIELD,
                "states": StoredField("states", encode=list, decode=tuple),
                "votes": StoredField("votes", encode=list, decode=tuple),
                "agreed": StoredField("agreed"),
            },
        ),
        RecordKind.PASSED: RecordCodec(BarrierPassedRecord, {"epoch": StoredField("epoch")}),
    }
)
_KINDS: Mapping[type, RecordKind] = MappingProxyType(
    {codec.kind: kind for kind, codec in RECORDS.items()}
)


def encode_record(record: Record) -> JsonObject:
    """Return the JSON object of a record."""
    kind = _KINDS[type(record)]
    return {KIND_NAME: kind, **RECORDS[kind].encode(record)}


def decode_record(stored: JsonObject) -> Record:
    """Read a record from its JSON object.

    Raises:
        KeyError: its kind is unknown, or a field is missing.
    """
    record: Record = RECORDS[stored[KIND_NAME]].decode(stored)
    return record


def identity_record(member: Member) -> JsonObject:
    """Return the record of this store's identity; made once, for an empty folder."""
    return encode_record(member)


def bootstrap_voters_record(voters: tuple[Member, ...]) -> JsonObject:
    """Return the record of the first epoch with its voters."""
    return encode_record(BootstrapVotersRecord(voters))


def bootstrap_voters_of(stored: JsonObject) -> tuple[Member, ...]:
    """Read the voters of the record of the first epoch."""
    record: BootstrapVotersRecord = RECORDS[RecordKind.FOUND].decode(stored)
    return record.voters


def ballot_state_record(ballot_state: BallotState, with_command: bool) -> JsonObject:
    """Return the record of a ballot state.

    Args:
        ballot_state: of this replica.
        with_command: whether the command is written as well: with the first ballot state of a slot
            and in each new segment.
    """
    return encode_record(
        BallotStateRecord(
            ballot_state.epoch,
            ballot_state.slot,
            ballot_state.proposal,
            ballot_state.command if with_command else None,
            ballot_state.states,
            ballot_state.votes,
            ballot_state.agreed,
        )
    )


def decision_record(decision: Decision, with_command: bool = True) -> JsonObject:
    """Return the record of a decision.

    Args:
        decision: of a slot.
        with_command: False if the own ballot state of the slot has the command in this segment.
    """
    command = decision.command if with_command else None
    return encode_record(DecisionRecord(decision.slot, decision.key, command))


def retained_decision_record(decision: Decision) -> JsonObject:
    """Return the record of a decision below the snapshot's slot."""
    return encode_record(RetainedDecisionRecord(decision.slot, decision.key, decision.command))


def decision_from(stored: JsonObject, proposed: Command | None = None) -> Decision:
    """Read a decision from its record; see `DecisionRecord.decision`."""
    record: DecisionRecord = RECORDS[RecordKind.DECISION].decode(stored)
    return record.decision(proposed)
