"""The shortest window of a history that is not linearizable by itself."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Generic

from willowpost.history.records import UNANSWERED, Call, Outcome
from willowpost.history.search import Linearizability, LinearizationSearch
from willowpost.history.specification import SequentialSpecification, State

# Of one search; beyond it a window counts as linearizable, and is not taken.
MAX_WINDOW_SEARCH_STEPS = 5_000


class ViolationWindow(Generic[State]):
    """Cuts calls off both ends of a history that is not linearizable, and reads out of its middle.

    Invariant: if the window is not linearizable, the history is not either. A change that was cut
    off and may have come between the window's calls stays with an unknown outcome; those that had
    returned before the window starts are replaced by every state that they may have left.
    """

    def __init__(self, register: SequentialSpecification[State]) -> None:
        self.register = register

    def find(self, calls: Sequence[Call]) -> tuple[Call, ...]:
        """The window's answered calls, in the order of their invocation."""
        answered = sorted(
            (call for call in calls if call.outcome is not Outcome.UNKNOWN),
            key=lambda call: (call.require_returned_at(), call.number),
        )
        answered = answered[: self._end(calls, answered)]
        answered = answered[self._start(calls, answered) :]
        window = self._without_needless_reads(calls, answered)
        return tuple(sorted(window, key=lambda call: (call.invoked_at, call.number)))

    def _end(self, calls: Sequence[Call], answered: list[Call]) -> int:
        low, high = 1, len(answered)
        while low < high:
            middle = (low + high) // 2
            if self._is_violation(calls, answered[:middle], from_start=True):
                high = middle
            else:
                low = middle + 1
        return high

    def _start(self, calls: Sequence[Call], answered: list[Call]) -> int:
        low, high = 0, len(answered) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if self._is_violation(calls, answered[middle:]):
                low = middle
            else:
                high = middle - 1
        return low

    def _without_needless_reads(self, calls: Sequence[Call], window: list[Call]) -> list[Call]:
        for read in [call for call in window if self.register.is_read(call)]:
            fewer = [call for call in window if call is not read]
            if fewer and self._is_violation(calls, fewer):
                window = fewer
        return window

    def _is_violation(
        self, calls: Sequence[Call], window: list[Call], from_start: bool = False
    ) -> bool:
        numbers = {call.number for call in window}
        start = min(call.invoked_at for call in window)
        end = max(call.require_returned_at() for call in window)
        searched: list[Call] = []
        before: list[Call] = []
        for call in calls:
            if call.number in numbers:
                searched.append(call)
            elif self.register.is_read(call) or call.invoked_at > end:
                continue
            elif (
                from_start or call.outcome is Outcome.UNKNOWN or call.require_returned_at() >= start
            ):
                searched.append(replace(call, returned_at=None, answer=UNANSWERED))
            else:
                before.append(call)
        initial_states = (
            [self.register.initial]
            if from_start
            else self.register.initial_states(searched, before)
        )
        return all(self._has_no_linearization(searched, state) for state in initial_states)

    def _has_no_linearization(self, calls: Sequence[Call], initial: State) -> bool:
        search = LinearizationSearch(self.register, calls, MAX_WINDOW_SEARCH_STEPS, initial)
        return search.run() is Linearizability.NOT_LINEARIZABLE
