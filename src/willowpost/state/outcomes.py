"""The outcome of a submitted command in the log, and its form in `CommandAccepted.results`."""

import json
from dataclasses import dataclass

from willowpost.state.codec import decode_results, encode_results
from willowpost.state.results import Result

BARRED_NAME = "barred"
FORGOTTEN_NAME = "forgotten"


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """The outcome of a command that is in the log, or barred from it for ever.

    Attributes:
        slot: that applied the command, or the newest one if that is not known.
    """

    slot: int


@dataclass(frozen=True, slots=True)
class Applied(CommandOutcome):
    """The command was applied; `results` has one result per operation."""

    results: tuple[Result, ...]


@dataclass(frozen=True, slots=True)
class ResultsDropped(CommandOutcome):
    """The command was applied; its results are not kept any more."""


@dataclass(frozen=True, slots=True)
class Barred(CommandOutcome):
    """The command never runs: its sender has a later incarnation, `incarnation`."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class SenderForgotten(CommandOutcome):
    """The log no longer knows the sender: whether the command ran is not known.

    Attributes:
        incarnation: no command of an unknown daemon runs unless its incarnation is above this one.
    """

    incarnation: int


def encode_outcome(outcome: CommandOutcome) -> str:
    """Return the JSON text of an outcome, without its slot."""
    match outcome:
        case Applied(results=results):
            return json.dumps(encode_results(results))
        case Barred(incarnation=incarnation):
            return json.dumps({BARRED_NAME: incarnation})
        case SenderForgotten(incarnation=incarnation):
            return json.dumps({FORGOTTEN_NAME: incarnation})
        case _:
            return json.dumps(None)


def decode_outcome(slot: int, text: str) -> CommandOutcome:
    """Read what `encode_outcome` returned.

    Raises:
        ValueError: the text is no JSON.
        KeyError: it is an object of another form.
    """
    stored = json.loads(text)
    if stored is None:
        return ResultsDropped(slot)
    if not isinstance(stored, dict):
        return Applied(slot, decode_results(stored))
    if FORGOTTEN_NAME in stored:
        return SenderForgotten(slot, stored[FORGOTTEN_NAME])
    return Barred(slot, stored[BARRED_NAME])
