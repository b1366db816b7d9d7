"""Applies one decision of the log to the tables; pure, and equal at every daemon."""

import json
from dataclasses import replace

from willowpost.common.uncollected import uncollected
from willowpost.state.apply import configurations, core, membership, operators, origins
from willowpost.state.tables import ANSWERS_KEPT, Tables
from willowpost.wire.messages import Command, Decision

OPS = {
    "join": membership.join,
    "leave": membership.leave,
    "drain": membership.drain,
    "suspicion": membership.suspicion,
    "replace_voter": core.replace_voter,
    "add_voters": core.add_voters,
    "epoch_opened": core.epoch_opened,
    "register": origins.register,
    "turn": origins.turn,
    "end": origins.end,
    "configuration": configurations.configuration,
    "purge": operators.purge,
    "zone": operators.zone,
    "own": operators.own,
}


def decided(tables: Tables, command: Command) -> bool:
    """The dictionary of the paper, bounded: is this command in the log, or barred from it for ever?"""
    held = tables.seen.get(command.daemon)
    if held is None or command.incarnation > held["incarnation"]:
        return False
    if command.incarnation < held["incarnation"]:
        return True
    return command.counter <= held["floor"] or str(command.counter) in held["answers"]


def answer_of(tables: Tables, command: Command) -> tuple[int, list] | None:
    held = tables.seen.get(command.daemon)
    if held is None or held["incarnation"] != command.incarnation:
        return None
    found = held["answers"].get(str(command.counter))
    return None if found is None else (found[0], found[1])


class Apply:
    """Invariant: step(tables, decision) has slot == decision.slot + 1.

    And a repeated command changes nothing else.
    """

    def step(self, tables: Tables, decision: Decision) -> Tables:
        if decision.slot != tables.slot:
            raise ValueError(f"slot {decision.slot} applied at {tables.slot}")
        command = decision.command
        if command is None or decided(tables, command):
            return replace(tables, slot=tables.slot + 1)
        answers = []
        with uncollected():
            ops = json.loads(command.body)
        for part, op in enumerate(ops):
            tables, answer = self._change(tables, op, part)
            answers.append(answer)
        return replace(
            tables,
            slot=tables.slot + 1,
            seen={**tables.seen, command.daemon: self._seen(tables, command, answers)},
        )

    def _change(self, tables, op, part):
        """A malformed op changes nothing, equally at every daemon.

        Else one in the log would end each process that comes to it, for ever.
        """
        try:
            change = OPS.get(op.get("op"))
            return (
                change(tables, {**op, "part": part})
                if change
                else (tables, {"ok": False, "why": "unknown op"})
            )
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            return tables, {"ok": False, "why": f"malformed op: {type(problem).__name__}"}

    def _seen(self, tables, command, answers):
        held = tables.seen.get(command.daemon)
        if held is None or held["incarnation"] < command.incarnation:
            held = {"incarnation": command.incarnation, "floor": 0, "answers": {}}
        kept = {**held["answers"], str(command.counter): [tables.slot, answers]}
        while len(kept) > ANSWERS_KEPT:
            least = min(kept, key=int)
            held = {**held, "floor": max(held["floor"], int(least))}
            kept.pop(least)
        return {**held, "answers": kept}
