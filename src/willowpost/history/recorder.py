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
        self._last = 0

    def invoke(self, caller: str, request: Request) -> int:
        """Record that a call is about to be sent; the number names it from now on."""
        self._last += 1
        self._calls[self._last] = Call(self._last, caller, request, self.clock())
        return self._last

    def answered(self, number: int, answer: Answer) -> None:
        """Record a call's answer.

        An unknown outcome has no end: the call may still take effect.
        """
        ended = None if answer.outcome is Outcome.UNKNOWN else self.clock()
        self._calls[number] = replace(self._calls[number], returned_at=ended, answer=answer)

    def forget(self, number: int) -> None:
        """Take a call out: it was no well-formed order."""
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
