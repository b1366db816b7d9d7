"""Traces: replayed, shortened, written as JSON, and printed for people and as a test."""

import json
from collections.abc import Sequence
from pathlib import Path
from textwrap import indent

from willowpost.model.actions import (
    Action,
    Crash,
    CrashAfterSending,
    CrashOnDelivery,
    Cut,
    Deliver,
    Heal,
    Lose,
    Remove,
    Restart,
    Tick,
    Wipe,
    from_json,
    to_json,
)
from willowpost.model.invariants import Violation
from willowpost.model.search import Counterexample
from willowpost.model.state_changes import NotPossible
from willowpost.model.system import System

_TEXT_MOST = 150


def replay(system: System, actions: Sequence[Action]) -> Counterexample | None:
    """Runs the actions from the scope's first state; the violation they end in, if they do.

    An action that is not possible where it stands is passed over.
    """
    state = system.initial()
    taken: list[Action] = []
    for action in actions:
        try:
            state = system.successor(state, action)
        except NotPossible:
            continue
        except Violation as violation:
            return Counterexample(violation.rule, str(violation), (*taken, action))
        taken.append(action)
    return None


def shortened(system: System, found: Counterexample) -> Counterexample:
    """The same rule broken by a trace from which no single action can be left out."""
    left = len(found.actions) - 1
    while left >= 0:
        tried = replay(system, (*found.actions[:left], *found.actions[left + 1 :]))
        if tried is not None and tried.rule == found.rule:
            found = tried
            left = min(left, len(found.actions))
        left -= 1
    return found


def save(path: Path, scope: str, found: Counterexample) -> None:
    """Writes the trace as JSON: the scope's name, the rule, and the actions."""
    trace = {
        "scope": scope,
        "rule": found.rule,
        "actions": [to_json(each) for each in found.actions],
    }
    path.write_text(json.dumps(trace, indent=1) + "\n")


def load(path: Path) -> tuple[str, tuple[Action, ...]]:
    """The scope's name and the actions of a saved trace.

    Raises:
        OSError: the file cannot be read.
        ValueError: it is not a trace.
    """
    try:
        trace = json.loads(path.read_text())
        return str(trace["scope"]), tuple(from_json(each) for each in trace["actions"])
    except (KeyError, TypeError) as problem:
        raise ValueError(f"not a trace: {problem}") from problem


def describe(action: Action) -> str:
    """The action as a line for people."""
    match action:
        case Deliver(source, target, message, keep):
            return f"{source} -> {target}: {_short(message)}{' (and again)' if keep else ''}"
        case Lose(source, target, message):
            return f"{source} -x {target}: {_short(message)} is lost"
        case CrashOnDelivery(source, target, message, written):
            return (
                f"{source} -> {target}: {_short(message)}; crashes with {written} records written"
            )
        case CrashAfterSending(source, target, message):
            return f"{source} -> {target}: {_short(message)}; crashes, sent, nothing written"
        case Tick(process, timed):
            return f"{process}: {'all timers are due' if timed else 'ticks again at once'}"
        case Crash(process):
            return f"{process}: crashes"
        case Restart(process):
            return f"{process}: restarts from its disk"
        case Wipe(process):
            return f"{process}: loses its disk and starts empty"
        case Remove(process):
            return f"{process}: was replaced and is removed for good"
        case Cut(source, target):
            return f"cut: nothing passes from {source} to {target}"
        case Heal():
            return "all cuts end"


def readable(found: Counterexample) -> str:
    """The trace as numbered lines, the broken rule last."""
    lines = [f"{number:3}  {describe(each)}" for number, each in enumerate(found.actions, 1)]
    return "\n".join([*lines, f"     {found.text}"])


def as_test(scope: str, found: Counterexample) -> str:
    """A unit test that fails as long as the trace breaks the rule."""
    actions = ",\n".join(repr(each) for each in found.actions)
    names = ", ".join(sorted({type(each).__name__ for each in found.actions}))
    return f"""import unittest

from willowpost.model.actions import {names}
from willowpost.model.replay import replay
from willowpost.model.scopes import SCOPES
from willowpost.model.system import System

ACTIONS = (
{indent(actions, "    ")},
)


class Trace(unittest.TestCase):
    def test_the_trace_breaks_no_rule(self):
        self.assertIsNone(replay(System(SCOPES[{scope!r}]), ACTIONS))
"""


def _short(message: str) -> str:
    return message if len(message) <= _TEXT_MOST else message[: _TEXT_MOST - 1] + "…"
