"""Records calls while they are made."""

from dataclasses import replace

from willowpost.history.records import Answer, Call, Outcome, Request


class HistoryRecorder:
    """Collects the calls of all callers of one run.

    Args:
        clock: Gives the time in µs; every caller of the history must share it.
    """

    def __init__(self, clock):
        self.clock = clock
        self._calls: dict[int, Call] = {}

    def invoke(self, caller: str, request: Request) -> int:
        """Record that a call is about to be sent; the number names it from now on."""
        number = len(self._calls) + 1
        self._calls[number] = Call(number, caller, request, self.clock())
        return number

    def answered(self, number: int, answer: Answer) -> None:
        """Record a call's answer.

        An unknown outcome has no end: the call may still take effect.
        """
        ended = None if answer.outcome is Outcome.UNKNOWN else self.clock()
        self._calls[number] = replace(self._calls[number], returned_at=ended, answer=answer)

    def calls(self) -> tuple[Call, ...]:
        """All calls so far, in the order of their sending; open ones have an unknown outcome."""
        return tuple(self._calls.values())
