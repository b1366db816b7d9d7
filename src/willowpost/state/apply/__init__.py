"""Applies one decision of the log to the tables; pure, with equal results at every daemon."""

import json
from dataclasses import replace

from willowpost.common.uncollected import uncollected
from willowpost.state.apply import configurations, core, membership, operators, origins
from willowpost.state.apply.duplicates import answer_of, decided, remembered
from willowpost.state.tables import Tables
from willowpost.wire.messages import Decision

__all__ = ["Apply", "answer_of", "decided"]

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


class Apply:
    """Applies decisions; a command that was applied before changes nothing but the slot."""

    def step(self, tables: Tables, decision: Decision) -> Tables:
        """Return the tables after one decision; their slot is `decision.slot + 1`.

        Raises:
            ValueError: the decision is not of slot `tables.slot`.
        """
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
        return replace(remembered(tables, command, answers), slot=tables.slot + 1)

    def _change(self, tables, op, part):
        """Apply one operation; returns the tables and the answer.

        A malformed operation changes nothing, equally at every daemon. If it raised, every process
        that reaches it in the log would end, for ever.
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
