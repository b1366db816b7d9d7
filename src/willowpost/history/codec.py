"""Histories as JSON lines: a header with the format's number, then one line for each call."""

import json
from dataclasses import asdict
from pathlib import Path

from willowpost.history.records import Answer, Call, Operation, Outcome, Request

FORMAT = 1
HEADER_KIND = "control-history"


class HistoryFormatError(ValueError):
    """The file is no history of a known format; the text names the line."""


def write_history(path: str | Path, calls) -> None:
    """Write the calls to a file, whole or not at all if the disk is sound."""
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
        known = header["kind"] == HEADER_KIND
        format_number = header["format"]
    except (ValueError, KeyError, TypeError) as problem:
        raise HistoryFormatError("line 1: not the header of a history") from problem
    if not known or format_number != FORMAT:
        raise HistoryFormatError(f"line 1: format {format_number} is not known, only {FORMAT}")


def _encode(call: Call) -> dict:
    stored = asdict(call)
    stored["request"]["operation"] = call.request.operation.value
    stored["answer"]["outcome"] = call.answer.outcome.value
    return stored


def _decode(line: str, number: int) -> Call:
    try:
        stored = json.loads(line)
        request, answer = stored.pop("request"), stored.pop("answer")
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
