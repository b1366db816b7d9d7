"""The codec of what a store writes to its disk: JSON objects whose `k` names their kind."""

from enum import StrEnum
from typing import Any

from willowpost.state.codec import (
    MEMBER,
    RecordCodec,
    StoredField,
    decode_members,
    encode_members,
)
from willowpost.wire.messages import BallotState, Command, Decision, Member


class RecordKind(StrEnum):
    """The kind of a record on disk; the value is what is written."""

    IDENTITY = "identity"  # the first one of each segment
    BOOTSTRAP_PROMISE = "bootstrap_promise"
    FOUND = "found"  # the core of the first epoch
    SNAPSHOT = "snapshot"
    KEPT = "kept"  # a decision below the snapshot's slot, kept for laggards
    DECISION = "decision"  # one after the snapshot
    BALLOT_STATE = "ballot_state"
    PASSED = "passed"  # the barrier of an epoch


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


def command_from(stored: dict[str, Any] | None) -> Command | None:
    """Return the command of a record, or None if it has none."""
    return None if stored is None else COMMAND.decode(stored)


def ballot_state_record(ballot_state: BallotState, whole: bool) -> dict:
    """Return the record of a ballot state.

    `whole` includes the command's body: with the first ballot state of a slot and in each new
    segment.
    """
    return {
        "k": RecordKind.BALLOT_STATE,
        "epoch": ballot_state.epoch,
        "slot": ballot_state.slot,
        "proposal": ballot_state.proposal,
        "command": COMMAND.encode(ballot_state.command) if whole and ballot_state.command else None,
        "states": list(ballot_state.states),
        "votes": list(ballot_state.votes),
        "agreed": ballot_state.agreed,
    }


def decision_record(decision: Decision, whole: bool = True) -> dict:
    """Return the record of a decision.

    Without `whole` the command is left out: the own ballot state of the slot already holds it in
    this segment.
    """
    return {
        "k": RecordKind.DECISION,
        "slot": decision.slot,
        "key": decision.key,
        "command": COMMAND.encode(decision.command) if whole and decision.command else None,
    }


def kept_record(decision: Decision) -> dict:
    """Return the record of a decision below the snapshot's slot, kept for laggards."""
    return {**decision_record(decision), "k": RecordKind.KEPT}


def decision_from(held: dict, proposed: Command | None = None) -> Decision:
    """Read a decision from its record.

    Args:
        held: the record.
        proposed: the command of the ballot state before it, used if the record has no command.

    Raises:
        ValueError: the decided command is neither in the record nor the proposed one.
    """
    command = command_from(held["command"])
    if command is None and proposed is not None and proposed.key == held["key"]:
        command = proposed
    if command is None and held["key"]:
        raise ValueError(f"slot {held['slot']} was decided as {held['key']}, which is not there")
    return Decision(held["slot"], held["key"], command)


def identity_record(me: Member) -> dict:
    """Return the record of this store's identity; made once, for an empty folder."""
    return {"k": RecordKind.IDENTITY, **MEMBER.encode(me)}


def bootstrap_promise_record(cards: tuple[str, ...]) -> dict:
    """Return the record of the one bootstrap promise: the members' cards as JSON."""
    return {"k": RecordKind.BOOTSTRAP_PROMISE, "members": list(cards)}


def founding_record(voters: tuple[Member, ...]) -> dict[str, Any]:
    """Return the record of the first epoch with its voters."""
    return {"k": RecordKind.FOUND, "core": encode_members(voters)}


def founding_voters(stored: dict[str, Any]) -> tuple[Member, ...]:
    """Read the voters of the record of the first epoch."""
    return decode_members(stored["core"])


def snapshot_record(text: str, log_floor: int, passed: int) -> dict:
    """Return the record of a snapshot.

    Args:
        text: the tables' text.
        log_floor: the first slot whose decision is kept.
        passed: the last epoch whose barrier was passed.
    """
    return {"k": RecordKind.SNAPSHOT, "text": text, "log_floor": log_floor, "passed": passed}


def passed_record(epoch: int) -> dict:
    """Return the record that this epoch's barrier was passed."""
    return {"k": RecordKind.PASSED, "epoch": epoch}
