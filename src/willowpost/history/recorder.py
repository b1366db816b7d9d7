"""Records calls while they are made."""

from collections.abc import Callable
from dataclasses import replace

from willowpost.history.records import Answer, Call, Outcome, Request


class HistoryRecorder:
    """Collects the calls of all callers of one run.

    Args:
        clock: Gives the time in µs; every caller of the history must share it.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self._calls: dict[int, Call] = {}
        self._last_number = 0

    def invoke(self, caller: str, request: Request) -> int:
        """Record that a call is about to be sent; returns its number in the history."""
        self._last_number += 1
        self._calls[self._last_number] = Call(self._last_number, caller, request, self.clock())
        return self._last_number

    def record_answer(self, number: int, answer: Answer) -> None:
        """Record a call's answer.

        An unknown outcome has no end: the call may still take effect.
        """
        returned_at = None if answer.outcome is Outcome.UNKNOWN else self.clock()
        self._calls[number] = replace(self._calls[number], returned_at=returned_at, answer=answer)

    def discard(self, number: int) -> None:
        """Remove a call that was not well formed, and so concerns no register."""
        self._calls.pop(number, None)

    def set_sent_content(self, number: int, content: str | None) -> None:
        """Set the digest of what a call sent, where it was not known before."""
        if number in self._calls:
            call = self._calls[number]
            self._calls[number] = replace(call, request=replace(call.request, content=content))

    def set_read_content(self, number: int, content: str | None) -> None:
        """Set the digest of what a call read, where it was not known before."""
        if number in self._calls:
            call = self._calls[number]
            self._calls[number] = replace(call, answer=replace(call.answer, content=content))

    def calls(self) -> tuple[Call, ...]:
        """All calls so far, in the order of their sending; open ones have an unknown outcome."""
        return tuple(self._calls.values())
