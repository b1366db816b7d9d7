"""The bounded record of commands: which have run, with what answers, and which never will.

For each daemon the log keeps its newest incarnation, a floor of its counters, and the last answers.
Daemons that are long absent are forgotten as a whole; `seen_floor` then bars commands of theirs
that may still arrive.
"""

from dataclasses import replace

from willowpost.state.kinds import DaemonState
from willowpost.state.tables import ANSWERS_KEPT, Tables
from willowpost.wire.messages import Command

ABSENT_KEPT = 256  # daemons that are neither up nor draining and are still remembered


def decided(tables: Tables, command: Command) -> bool:
    """Whether the command is in the log, or barred from it for ever."""
    held = tables.seen.get(command.daemon)
    if held is None:
        return command.incarnation <= tables.seen_floor
    if command.incarnation > held["incarnation"]:
        return False
    if command.incarnation < held["incarnation"]:
        return True
    return command.counter <= held["floor"] or str(command.counter) in held["answers"]


def answer_of(tables: Tables, command: Command) -> tuple[int, list] | None:
    """Return (slot, answers) of a command that ran; None if they are not kept."""
    held = tables.seen.get(command.daemon)
    if held is None or held["incarnation"] != command.incarnation:
        return None
    found = held["answers"].get(str(command.counter))
    return None if found is None else (found[0], found[1])


def remembered(tables: Tables, command: Command, answers: list) -> Tables:
    """Return the tables with the answers of a command that ran in slot `tables.slot`."""
    card = _with_answers(tables.seen.get(command.daemon), command, tables.slot, answers)
    return _bounded(replace(tables, seen={**tables.seen, command.daemon: card}))


def _with_answers(held: dict | None, command: Command, slot: int, answers: list) -> dict:
    if held is None or held["incarnation"] < command.incarnation:
        held = {"incarnation": command.incarnation, "floor": 0, "answers": {}}
    kept = {**held["answers"], str(command.counter): [slot, answers]}
    while len(kept) > ANSWERS_KEPT:
        least = min(kept, key=int)
        held = {**held, "floor": max(held["floor"], int(least))}
        kept.pop(least)
    return {**held, "answers": kept}


def _bounded(tables: Tables) -> Tables:
    """Forget the absent daemon whose last command is oldest, if more than ABSENT_KEPT are absent.

    A command of it that still arrives must never run again: from now on no unknown daemon runs a
    command of an incarnation as old as that. Incarnations are wall times of starts, so a new daemon
    is above it, or learns the floor from its first answer and continues above it.
    """
    if len(tables.seen) <= ABSENT_KEPT:
        return tables
    absent = [name for name in tables.seen if not _present(tables, name)]
    if len(absent) <= ABSENT_KEPT:
        return tables
    oldest = min(absent, key=lambda name: (_last_slot(tables.seen[name]), name))
    return replace(
        tables,
        seen={name: held for name, held in tables.seen.items() if name != oldest},
        seen_floor=max(tables.seen_floor, tables.seen[oldest]["incarnation"]),
    )


def _present(tables, name) -> bool:
    state = tables.daemons.get(name, {}).get("state")
    return state in (DaemonState.UP.value, DaemonState.DRAINING.value)


def _last_slot(held) -> int:
    return max((slot for slot, _ in held["answers"].values()), default=-1)
