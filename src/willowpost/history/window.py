"""The shortest part of an unexplained history that has no explanation by itself."""

from dataclasses import replace

from willowpost.history.records import UNANSWERED, Call, Outcome
from willowpost.history.search import Finding, LinearizationSearch

STEPS_MOST = 5_000  # of one search; beyond it a part counts as explained, and is not taken


class UnexplainedWindow:
    """Cuts calls off both ends of an unexplained history, and reads out of its middle.

    Invariant: whatever the part cannot explain, the whole cannot either. A change that was cut off
    and may have come between the calls of the part stays with an unknown outcome; those that were
    over before the part began are stood in for by every state that they may have left.
    """

    def __init__(self, register):
        self.register = register

    def of(self, calls: tuple[Call, ...]) -> tuple[Call, ...]:
        """The answered calls of the part, in the order of their sending."""
        answered = sorted(
            (call for call in calls if call.outcome is not Outcome.UNKNOWN),
            key=lambda call: (call.returned_at, call.number),
        )
        answered = answered[: self._end(calls, answered)]
        answered = answered[self._start(calls, answered) :]
        kept = self._without_needless_reads(calls, answered)
        return tuple(sorted(kept, key=lambda call: (call.invoked_at, call.number)))

    def _end(self, calls, answered) -> int:
        least, most = 1, len(answered)
        while least < most:
            middle = (least + most) // 2
            if self._unexplained(calls, answered[:middle], from_start=True):
                most = middle
            else:
                least = middle + 1
        return most

    def _start(self, calls, answered) -> int:
        least, most = 0, len(answered) - 1
        while least < most:
            middle = (least + most + 1) // 2
            if self._unexplained(calls, answered[middle:]):
                least = middle
            else:
                most = middle - 1
        return least

    def _without_needless_reads(self, calls, kept):
        for read in [call for call in kept if self.register.is_read(call)]:
            fewer = [call for call in kept if call is not read]
            if fewer and self._unexplained(calls, fewer):
                kept = fewer
        return kept

    def _unexplained(self, calls, kept, from_start: bool = False) -> bool:
        numbers = {call.number for call in kept}
        began = min(call.invoked_at for call in kept)
        ended = max(call.returned_at for call in kept)
        part, before = [], []
        for call in calls:
            if call.number in numbers:
                part.append(call)
            elif self.register.is_read(call) or call.invoked_at > ended:
                continue
            elif from_start or call.outcome is Outcome.UNKNOWN or call.returned_at >= began:
                part.append(replace(call, returned_at=None, answer=UNANSWERED))
            else:
                before.append(call)
        initial = (
            (self.register.initial,) if from_start else self.register.initial_states(part, before)
        )
        return all(
            LinearizationSearch(self.register, part, STEPS_MOST, state).run() is Finding.UNEXPLAINED
            for state in initial
        )
