"""The operations of the log that scopes use."""

from dataclasses import asdict

from willowpost.model.processes import incarnation_of, member_of
from willowpost.model.scope import Machine

Operation = dict[str, object]
EMPTY_A_ZONE: Operation = {"op": "zone", "zone": "a", "empty": True}
EMPTY_B_ZONE: Operation = {"op": "zone", "zone": "b", "empty": True}


def configuration(number: int, host: str) -> Operation:
    """An operator gives the configuration this number."""
    return {"op": "configuration", "version": number, "tree": {"host": host}}


def card(machine: Machine, state: str) -> Operation:
    """A store's card as it joins."""
    identity = member_of(machine).identity
    return {
        "id": identity,
        "kind": "store",
        "name": machine.name,
        "zone": machine.zone,
        "address": machine.name,
        "incarnation": incarnation_of(1),
        "state": state,
    }


def joined(machine: Machine) -> Operation:
    """A store joins."""
    return {"op": "join", "daemon": card(machine, "up")}


def suspected(target: Machine, watcher: Machine) -> Operation:
    """One store suspects another."""
    return {
        "op": "suspicion",
        "target": member_of(target).identity,
        "incarnation": incarnation_of(1),
        "watcher": member_of(watcher).identity,
        "suspected": True,
    }


def replacement(old: Machine, new: Machine) -> Operation:
    """A learner takes a voter's seat."""
    return {
        "op": "replace_voter",
        "old": member_of(old).identity,
        "new": asdict(member_of(new)),
    }


def offer(learner: Machine) -> Operation:
    """A learner offers itself as one more voter."""
    return {
        "op": "add_voters",
        "learner": member_of(learner).identity,
        "incarnation": incarnation_of(1),
        "most": 5,
    }
