"""Traces: replayed, shortened, written as JSON, and printed for people and as a test."""

import json
from collections.abc import Sequence
from pathlib import Path
from textwrap import indent

from willowpost.common.errors import WillowpostError
from willowpost.model.actions import (
    Action,
    BlockLink,
    Crash,
    CrashAfterSending,
    CrashOnDelivery,
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
from willowpost.model.invariants import InvariantViolationError
from willowpost.model.search import Counterexample
from willowpost.model.state_changes import ActionNotPossibleError
from willowpost.model.system import System

_MAX_MESSAGE_TEXT = 150  # characters


class TraceFormatError(WillowpostError, ValueError):
    """The file is not a saved trace."""


def replay(system: System, actions: Sequence[Action]) -> Counterexample | None:
    """Runs the actions from the scope's first state; the violation that ends them, if any.

    An action that is not possible in its state is skipped.
    """
    state = system.initial()
    taken: list[Action] = []
    for action in actions:
        try:
            state = system.successor(state, action)
        except ActionNotPossibleError:
            continue
        except InvariantViolationError as violation:
            return Counterexample(violation.rule, str(violation), (*taken, action))
        taken.append(action)
    return None


def shorten(system: System, counterexample: Counterexample) -> Counterexample:
    """The same rule broken by a trace from which no single action can be left out."""
    index = len(counterexample.actions) - 1
    while index >= 0:
        candidate = replay(
            system, (*counterexample.actions[:index], *counterexample.actions[index + 1 :])
        )
        if candidate is not None and candidate.rule == counterexample.rule:
            counterexample = candidate
            index = min(index, len(counterexample.actions))
        index -= 1
    return counterexample


def save_trace(path: Path, scope: str, counterexample: Counterexample) -> None:
    """Writes the trace as JSON: the scope's name, the rule, and the actions."""
    trace = {
        "scope": scope,
        "rule": counterexample.rule,
        "actions": [to_json(each) for each in counterexample.actions],
    }
    path.write_text(json.dumps(trace, indent=1) + "\n")


def load_trace(path: Path) -> tuple[str, tuple[Action, ...]]:
    """The scope's name and the actions of a saved trace.

    Raises:
        OSError: the file cannot be read.
        TraceFormatError: it is not a trace.
    """
    try:
        trace = json.loads(path.read_text())
        return str(trace["scope"]), tuple(from_json(each) for each in trace["actions"])
    except (KeyError, TypeError, ValueError) as problem:
        raise TraceFormatError(f"not a trace: {problem}") from problem


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
        case BlockLink(source, target):
            return f"link blocked: nothing passes from {source} to {target}"
        case Heal():
            return "all blocked links deliver again"


def format_trace(counterexample: Counterexample) -> str:
    """The trace as numbered lines, the broken rule last."""
    lines = [
        f"{number:3}  {describe(each)}" for number, each in enumerate(counterexample.actions, 1)
    ]
    return "\n".join([*lines, f"     {counterexample.text}"])


def format_as_test(scope: str, counterexample: Counterexample) -> str:
    """A unit test that fails as long as the trace breaks the rule."""
    actions = ",\n".join(repr(each) for each in counterexample.actions)
    names = ", ".join(sorted({type(each).__name__ for each in counterexample.actions}))
    return f"""import unittest

from willowpost.common.errors import WillowpostError
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
    return message if len(message) <= _MAX_MESSAGE_TEXT else message[: _MAX_MESSAGE_TEXT - 1] + "…"
