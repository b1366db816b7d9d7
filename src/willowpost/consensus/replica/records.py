"""The one codec of what a store writes to its disk: JSON objects, `k` names the kind of each."""

from dataclasses import asdict
from enum import StrEnum

from willowpost.wire.messages import BallotState, Command, Decision, Member


class RecordKind(StrEnum):
    """What a record on the disk is; the value is what stands there."""

    IDENTITY = "identity"  # the first one of each segment
    BOOTSTRAP_PROMISE = "bootstrap_promise"
    FOUND = "found"  # the core of the first epoch
    SNAPSHOT = "snapshot"
    KEPT = "kept"  # a decision below the snapshot's slot, kept for laggards
    DECISION = "decision"  # one after the snapshot
    BALLOT_STATE = "ballot_state"
    PASSED = "passed"  # the barrier of an epoch


def command_from(held: dict | None) -> Command | None:
    """The command of a record, if it has one."""
    return None if held is None else Command(**held)


def ballot_state_record(ballot_state: BallotState, whole: bool) -> dict:
    """The command's body is written with the first ballot state of a slot and in each new segment."""
    return {
        "k": RecordKind.BALLOT_STATE,
        "epoch": ballot_state.epoch,
        "slot": ballot_state.slot,
        "proposal": ballot_state.proposal,
        "command": asdict(ballot_state.command) if whole and ballot_state.command else None,
        "states": list(ballot_state.states),
        "votes": list(ballot_state.votes),
        "agreed": ballot_state.agreed,
    }


def decision_record(decision: Decision, whole: bool = True) -> dict:
    """Not `whole`: the command is in the segment already, with the own ballot state of the slot."""
    return {
        "k": RecordKind.DECISION,
        "slot": decision.slot,
        "key": decision.key,
        "command": asdict(decision.command) if whole and decision.command else None,
    }


def kept_record(decision: Decision) -> dict:
    """A decision that the snapshot holds, kept whole for laggards."""
    return {**decision_record(decision), "k": RecordKind.KEPT}


def decision_from(held: dict, proposed: Command | None = None) -> Decision:
    """`proposed`: the command of the ballot state before it, for a decision written without its own."""
    command = command_from(held["command"])
    if command is None and proposed is not None and proposed.key == held["key"]:
        command = proposed
    if command is None and held["key"]:
        raise ValueError(f"slot {held['slot']} was decided as {held['key']}, which is not there")
    return Decision(held["slot"], held["key"], command)


def identity_record(me: Member) -> dict:
    """Who this store is; made once, for an empty folder."""
    return {"k": RecordKind.IDENTITY, **asdict(me)}


def bootstrap_promise_record(cards: tuple[str, ...]) -> dict:
    """The one founding set that this store has promised for."""
    return {"k": RecordKind.BOOTSTRAP_PROMISE, "members": list(cards)}


def found_record(core: list[dict]) -> dict:
    """The fleet is founded with these voters."""
    return {"k": RecordKind.FOUND, "core": core}


def snapshot_record(text: str, log_floor: int, passed: int) -> dict:
    """The tables, the first slot whose decision is kept, and the last epoch whose barrier passed."""
    return {"k": RecordKind.SNAPSHOT, "text": text, "log_floor": log_floor, "passed": passed}


def passed_record(epoch: int) -> dict:
    """The barrier of this epoch was passed."""
    return {"k": RecordKind.PASSED, "epoch": epoch}
