"""The search for a linearization (Wing and Gong, with memoisation as by Lowe).

A history is linearizable if its calls can be put into one order, in which each lies between its
sending and its answer, and in which every answer is what the sequential specification gives. A call
with an unknown outcome has no end, and may be left out.
"""

from dataclasses import dataclass
from enum import Enum

from willowpost.history.records import Call, Outcome

STEPS_MOST = 500_000
LOOKED_AHEAD = 32  # calls that are checked for having been overtaken


class Finding(Enum):
    """What the search found."""

    EXPLAINED = "explained"
    UNEXPLAINED = "unexplained"
    UNDECIDED = "undecided"  # the search was given up at its bound


@dataclass(slots=True)
class _Branch:
    """A point of the search: what is placed, and the choices that are left there."""

    placed: int
    choices: list


class LinearizationSearch:
    """Decides whether the calls of one key have a linearization.

    Invariant: `placed` is a bit set over the calls in the order of their sending; a pair of it and
    a state is visited once.

    Args:
        register: The sequential specification of the key.
        calls: The calls of that key.
        steps_most: Pairs visited before the search is given up.
        initial: The state before the first call, if it is another than the register's.
    """

    def __init__(self, register, calls, steps_most: int = STEPS_MOST, initial=None):
        self.register = register
        self.initial = register.initial if initial is None else initial
        self.calls = sorted(
            register.simplified(calls), key=lambda call: (call.invoked_at, call.number)
        )
        self.steps_most = steps_most
        self.steps = 0
        self._owed = sum(
            1 << index
            for index, call in enumerate(self.calls)
            if call.outcome is not Outcome.UNKNOWN
        )

    def run(self) -> Finding:
        """Search depth first; the number of steps is in `steps` afterwards."""
        placed, state = self._place_reads(0, self.initial)
        visited = {(placed, state)}
        branches = [_Branch(placed, self._choices(placed, state))]
        while branches:
            branch = branches[-1]
            if self._done(branch.placed):
                return Finding.EXPLAINED
            if not branch.choices:
                branches.pop()
                continue
            self.steps += 1
            if self.steps > self.steps_most:
                return Finding.UNDECIDED
            index, state = branch.choices.pop()
            placed, state = self._place_reads(branch.placed | 1 << index, state)
            if (placed, state) not in visited and not self._dead(placed, state):
                visited.add((placed, state))
                branches.append(_Branch(placed, self._choices(placed, state)))
        return Finding.UNEXPLAINED

    def _done(self, placed: int) -> bool:
        return placed & self._owed == self._owed

    def _dead(self, placed: int, state) -> bool:
        """Whether a call that is still owed an explanation can have none any more."""
        rest = ~placed & self._owed
        looked = 0
        while rest and looked < LOOKED_AHEAD:
            index = (rest & -rest).bit_length() - 1
            if self.register.overtaken(state, self.calls[index]):
                return True
            rest &= rest - 1
            looked += 1
        return False

    def _open(self, placed: int) -> list[int]:
        """The calls that may come next: sent before the first answer that is still owed came."""
        rest = ~placed
        found: list[int] = []
        limit = None
        index = (rest & -rest).bit_length() - 1
        while index < len(self.calls):
            call = self.calls[index]
            if limit is not None and call.invoked_at > limit:
                break
            if not placed >> index & 1:
                found.append(index)
                if call.outcome is not Outcome.UNKNOWN:
                    ended = call.returned_at
                    limit = ended if limit is None else min(limit, ended)
            index += 1
        return [index for index in found if limit is None or self.calls[index].invoked_at <= limit]

    def _place_reads(self, placed: int, state):
        """Place each call that changes nothing and fits now; no other order needs to be tried."""
        again = True
        while again:
            again = False
            for index in self._open(placed):
                call = self.calls[index]
                if (
                    call.outcome is not Outcome.UNKNOWN
                    and self.register.is_read(call)
                    and self.register.apply(state, call)
                ):
                    placed |= 1 << index
                    again = True
        return placed, state

    def _choices(self, placed: int, state) -> list[tuple]:
        """(index, state after) of each change that may come next, the likeliest last.

        Of unknown calls that ask for the same thing only the first sent is tried: they are alike.
        """
        answered, unknown, tried = [], [], set()
        for index in self._open(placed):
            call = self.calls[index]
            if self.register.is_read(call):
                continue
            if call.outcome is Outcome.UNKNOWN:
                if call.request in tried:
                    continue
                tried.add(call.request)
            for after in self.register.apply(state, call):
                if call.outcome is not Outcome.UNKNOWN:
                    answered.append((index, after, call.returned_at))
                elif after != state:
                    unknown.append((index, after))
        answered.sort(key=lambda choice: choice[2], reverse=True)
        return [*unknown, *((index, after) for index, after, _ in answered)]


def search(register, calls: tuple[Call, ...], steps_most: int = STEPS_MOST) -> Finding:
    """Whether the calls have a linearization under the register's specification."""
    return LinearizationSearch(register, calls, steps_most).run()
