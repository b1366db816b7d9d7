"""What a store writes to its disk, as JSON values, and how it is read back."""

from dataclasses import asdict

from willowpost.wire.messages import BallotState, Command, Decision, Member


def command_from(held) -> Command | None:
    return None if held is None else Command(**held)


def ballot_state_record(ballot_state: BallotState, whole: bool) -> dict:
    """The command's body is written with the first ballot state of a slot and in each new segment."""
    return {
        "k": "ballot_state",
        "epoch": ballot_state.epoch,
        "slot": ballot_state.slot,
        "proposal": ballot_state.proposal,
        "command": asdict(ballot_state.command) if whole and ballot_state.command else None,
        "states": list(ballot_state.states),
        "votes": list(ballot_state.votes),
        "agreed": ballot_state.agreed,
    }


def decision_record(decision: Decision) -> dict:
    return {
        "k": "decision",
        "slot": decision.slot,
        "key": decision.key,
        "command": asdict(decision.command) if decision.command else None,
    }


def decision_from(held: dict) -> Decision:
    return Decision(held["slot"], held["key"], command_from(held["command"]))


def identity_record(me: Member) -> dict:
    return {"k": "identity", **asdict(me)}
