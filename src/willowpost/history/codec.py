"""Histories as JSON lines: a header with the format's number, then one line for each call."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from willowpost.common.errors import WillowpostError
from willowpost.history.records import Answer, Call, Operation, Outcome, Request

FORMAT = 1
HEADER_KIND = "control-history"
# Fields of an answer whose stored name is another.
_STORED_ANSWER_NAMES = {"is_changed": "changed", "is_evacuated": "evacuated"}
_ANSWER_FIELDS = {stored: field for field, stored in _STORED_ANSWER_NAMES.items()}


class HistoryFormatError(WillowpostError, ValueError):
    """The file is no history of a known format; the text names the line."""


def write_history(path: str | Path, calls: Iterable[Call]) -> None:
    """Write the calls to a file, with one write of its complete text."""
    lines = [json.dumps({"kind": HEADER_KIND, "format": FORMAT})]
    lines += [json.dumps(_encode(call)) for call in calls]
    Path(path).write_text("\n".join(lines) + "\n")


def read_history(path: str | Path) -> tuple[Call, ...]:
    """Read a file's calls.

    Raises:
        HistoryFormatError: A line cannot be read, or the format is not known.
        OSError: The file cannot be read.
    """
    lines = Path(path).read_text().splitlines()
    _check_header(lines[0] if lines else "")
    calls = tuple(
        _decode(line, number) for number, line in enumerate(lines[1:], start=2) if line.strip()
    )
    numbers = {call.number for call in calls}
    if len(numbers) != len(calls):
        raise HistoryFormatError("two calls have one number")
    return calls


def _check_header(line: str) -> None:
    try:
        header = json.loads(line)
        is_history = header["kind"] == HEADER_KIND
        format_number = header["format"]
    except (ValueError, KeyError, TypeError) as problem:
        raise HistoryFormatError("line 1: not the header of a history") from problem
    if not is_history or format_number != FORMAT:
        raise HistoryFormatError(f"line 1: format {format_number} is not known, only {FORMAT}")


def _encode(call: Call) -> dict[str, Any]:
    stored = asdict(call)
    stored["request"]["operation"] = call.request.operation.value
    stored["answer"] = {
        _STORED_ANSWER_NAMES.get(name, name): value for name, value in stored["answer"].items()
    }
    stored["answer"]["outcome"] = call.answer.outcome.value
    return stored


def _decode(line: str, number: int) -> Call:
    try:
        stored = json.loads(line)
        request, stored_answer = stored.pop("request"), stored.pop("answer")
        answer = {_ANSWER_FIELDS.get(name, name): value for name, value in stored_answer.items()}
        call = Call(
            **stored,
            request=Request(**{**request, "operation": Operation(request["operation"])}),
            answer=Answer(**{**answer, "outcome": Outcome(answer["outcome"])}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        raise HistoryFormatError(f"line {number}: not a call: {problem}") from problem
    if call.outcome is not Outcome.UNKNOWN and call.returned_at is None:
        raise HistoryFormatError(f"line {number}: an outcome without the time of the answer")
    return call
