"""The scopes that ship with willowpost, by name."""

from dataclasses import asdict

from willowpost.consensus.replica.replica_state import Pace
from willowpost.model.logical_time import NEVER
from willowpost.model.processes import incarnation_of, member_of
from willowpost.model.scope import READS_OFF, Budget, Machine, Role, Scope

THREE = (Machine("s0", "a"), Machine("s1", "b"), Machine("s2", "c"))
FIVE = (*THREE, Machine("s3", "a"), Machine("s4", "b"))
WITH_LEARNER = (*THREE, Machine("s3", "c", Role.LEARNER))
EMPTY_A_ZONE: dict[str, object] = {"op": "zone", "zone": "a", "empty": True}
EMPTY_B_ZONE: dict[str, object] = {"op": "zone", "zone": "b", "empty": True}
QUIET = Pace(read=READS_OFF, synced_index=NEVER, rotate=NEVER)
READING = Pace(synced_index=NEVER, rotate=NEVER)


def _configuration(number: int, host: str) -> dict[str, object]:
    return {"op": "configuration", "version": number, "tree": {"host": host}}


def _card(machine: Machine, state: str) -> dict[str, object]:
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


def _joined(machine: Machine) -> dict[str, object]:
    return {"op": "join", "daemon": _card(machine, "up")}


def _suspected(target: Machine, watcher: Machine) -> dict[str, object]:
    return {
        "op": "suspicion",
        "target": member_of(target).identity,
        "incarnation": incarnation_of(1),
        "watcher": member_of(watcher).identity,
        "suspected": True,
    }


def _replacement(old: Machine, new: Machine) -> dict[str, object]:
    return {
        "op": "replace_voter",
        "old": member_of(old).identity,
        "new": asdict(member_of(new)),
    }


# s2 is held lost, and is not: it runs on, and votes until it is replaced.
_HELD_LOST = (
    *(_joined(machine) for machine in WITH_LEARNER),
    _suspected(WITH_LEARNER[2], WITH_LEARNER[0]),
    _suspected(WITH_LEARNER[2], WITH_LEARNER[1]),
)

ONE_COMMAND = Scope("one-command", THREE, (EMPTY_A_ZONE,), budget=Budget(torn=1))
TWO_COMMANDS = Scope("two-commands", THREE, (EMPTY_A_ZONE, EMPTY_B_ZONE), budget=Budget(torn=1))
RACE = Scope(
    "race",
    THREE,
    (_configuration(2, "one.example"), _configuration(2, "two.example")),
)
WIPED = Scope(
    "wiped",
    THREE,
    (EMPTY_A_ZONE,),
    ticks={"s0": 1, "s1": 1, "s2": 2},
    budget=Budget(wipes=1),
    may_lose_disk=("s2",),
)
READS = Scope(
    "reads",
    THREE,
    (EMPTY_A_ZONE,),
    ticks={"s2": 2},
    budget=Budget(crashes=1),
    pace=READING,
    may_crash=("s2",),
)
READER_ASKS = Scope(
    "reader", THREE, (EMPTY_A_ZONE,), reader=True, ticks={"reader": 2}, budget=Budget(cuts=1)
)
REPLACED = Scope(
    "replaced",
    WITH_LEARNER,
    (_replacement(WITH_LEARNER[2], WITH_LEARNER[3]),),
    log_prefix=_HELD_LOST,
    budget=Budget(removals=1),
)
REPLACED_LATE = Scope(
    "replaced-late",
    WITH_LEARNER,
    (EMPTY_A_ZONE, _replacement(WITH_LEARNER[2], WITH_LEARNER[3])),
    log_prefix=_HELD_LOST,
    budget=Budget(removals=1),
)
UNHEARD = Scope(
    "unheard",
    WITH_LEARNER,
    (_replacement(WITH_LEARNER[2], WITH_LEARNER[3]), EMPTY_A_ZONE),
    log_prefix=_HELD_LOST,
    reader=True,
    ticks={"reader": 1, "s3": 1},
)
# The learner's own repair asks for the seat of s2, which is held lost.
LEARNER_BEHIND = Scope(
    "learner-behind",
    (*THREE, Machine("s3", "c", Role.LEARNER)),
    (EMPTY_A_ZONE,),
    log_prefix=_HELD_LOST,
    ticks={"s3": 2},
    budget=Budget(removals=1, short_ticks=1),
    pace=READING,
)
STORE_READ_OVER_EPOCHS = Scope(
    "store-read-over-epochs",
    WITH_LEARNER,
    (_replacement(WITH_LEARNER[2], WITH_LEARNER[3]), EMPTY_A_ZONE),
    log_prefix=_HELD_LOST,
    ticks={"s2": 1, "s3": 1},
    pace=READING,
)
SCOPES = {
    scope.name: scope
    for scope in (
        ONE_COMMAND,
        TWO_COMMANDS,
        RACE,
        WIPED,
        READS,
        READER_ASKS,
        REPLACED,
        REPLACED_LATE,
        UNHEARD,
        LEARNER_BEHIND,
        STORE_READ_OVER_EPOCHS,
    )
}
