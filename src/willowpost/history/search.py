"""The search for a linearization (Wing and Gong, with memoisation as by Lowe).

A history is linearizable if its calls can be put into one order, in which each lies between its
invocation and its answer, and in which every answer is what the sequential specification gives. A
call with an unknown outcome has no end, and may be left out.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Generic

from willowpost.history.records import Call, Outcome, Request
from willowpost.history.specification import SequentialSpecification, State

MAX_SEARCH_STEPS = 500_000
MAX_OBSOLETE_CHECKS = 32  # calls that are checked in one state for having become impossible


class Linearizability(Enum):
    """The result of a search; the values are what `wpdrill check history` prints."""

    LINEARIZABLE = "explained"
    NOT_LINEARIZABLE = "unexplained"
    UNDECIDED = "undecided"  # the search was given up at its limit


@dataclass(frozen=True, slots=True)
class _Candidate(Generic[State]):
    """A call that may come next, and the state after it."""

    index: int
    state: State


@dataclass(frozen=True, slots=True)
class _Branch(Generic[State]):
    """A point of the search: the bit set of linearized calls, and the candidates left to try."""

    linearized: int
    candidates: list[_Candidate[State]]


class LinearizationSearch(Generic[State]):
    """Decides whether the calls of one key have a linearization.

    Invariant: `linearized` is a bit set over the calls in the order of their invocation; a pair of
    it and a state is visited once.

    Args:
        register: The sequential specification of the key.
        calls: The calls of that key.
        max_steps: Pairs visited before the search is given up.
        initial: The state before the first call, if it is another than the register's.
    """

    def __init__(
        self,
        register: SequentialSpecification[State],
        calls: Sequence[Call],
        max_steps: int = MAX_SEARCH_STEPS,
        initial: State | None = None,
    ) -> None:
        self.register = register
        self.initial = register.initial if initial is None else initial
        self.calls = sorted(
            register.simplify(calls), key=lambda call: (call.invoked_at, call.number)
        )
        self.max_steps = max_steps
        self.steps = 0
        self._required = sum(
            1 << index
            for index, call in enumerate(self.calls)
            if call.outcome is not Outcome.UNKNOWN
        )

    def run(self) -> Linearizability:
        """Search depth first; the number of steps is in `steps` afterwards."""
        linearized, state = self._linearize_reads(0, self.initial)
        visited = {(linearized, state)}
        branches = [_Branch(linearized, self._candidates(linearized, state))]
        while branches:
            branch = branches[-1]
            if self._is_complete(branch.linearized):
                return Linearizability.LINEARIZABLE
            if not branch.candidates:
                branches.pop()
                continue
            self.steps += 1
            if self.steps > self.max_steps:
                return Linearizability.UNDECIDED
            candidate = branch.candidates.pop()
            linearized, state = self._linearize_reads(
                branch.linearized | 1 << candidate.index, candidate.state
            )
            if (linearized, state) not in visited and not self._is_dead_end(linearized, state):
                visited.add((linearized, state))
                branches.append(_Branch(linearized, self._candidates(linearized, state)))
        return Linearizability.NOT_LINEARIZABLE

    def _is_complete(self, linearized: int) -> bool:
        return linearized & self._required == self._required

    def _is_dead_end(self, linearized: int, state: State) -> bool:
        """Whether a required call that is not linearized yet has become impossible."""
        rest = ~linearized & self._required
        checked = 0
        while rest and checked < MAX_OBSOLETE_CHECKS:
            if self.register.is_obsolete(state, self.calls[_lowest_bit(rest)]):
                return True
            rest &= rest - 1
            checked += 1
        return False

    def _concurrent(self, linearized: int) -> list[int]:
        """The calls that may come next: invoked before the first missing answer came."""
        concurrent: list[int] = []
        first_return: int | None = None
        for index in range(_lowest_bit(~linearized), len(self.calls)):
            call = self.calls[index]
            if first_return is not None and call.invoked_at > first_return:
                break
            if linearized >> index & 1:
                continue
            concurrent.append(index)
            if call.outcome is not Outcome.UNKNOWN:
                returned_at = call.require_returned_at()
                first_return = (
                    returned_at if first_return is None else min(first_return, returned_at)
                )
        return [
            index
            for index in concurrent
            if first_return is None or self.calls[index].invoked_at <= first_return
        ]

    def _linearize_reads(self, linearized: int, state: State) -> tuple[int, State]:
        """Place each call that changes nothing and fits now; no other order needs to be tried."""
        has_progress = True
        while has_progress:
            has_progress = False
            for index in self._concurrent(linearized):
                call = self.calls[index]
                if (
                    call.outcome is not Outcome.UNKNOWN
                    and self.register.is_read(call)
                    and self.register.apply(state, call)
                ):
                    linearized |= 1 << index
                    has_progress = True
        return linearized, state

    def _candidates(self, linearized: int, state: State) -> list[_Candidate[State]]:
        """Each change that may come next, the likeliest last.

        Of unknown calls with the same request only the first invoked is tried: they are alike.
        """
        answered: list[_Candidate[State]] = []
        unknown: list[_Candidate[State]] = []
        unknown_requests: set[Request] = set()
        for index in self._concurrent(linearized):
            call = self.calls[index]
            if self.register.is_read(call):
                continue
            if call.outcome is Outcome.UNKNOWN:
                if call.request in unknown_requests:
                    continue
                unknown_requests.add(call.request)
            for after in self.register.apply(state, call):
                if call.outcome is not Outcome.UNKNOWN:
                    answered.append(_Candidate(index, after))
                elif after != state:
                    unknown.append(_Candidate(index, after))
        answered.sort(key=self._returned_at, reverse=True)
        return [*unknown, *answered]

    def _returned_at(self, candidate: _Candidate[State]) -> int:
        return self.calls[candidate.index].require_returned_at()


def _lowest_bit(bits: int) -> int:
    return (bits & -bits).bit_length() - 1


def search(
    register: SequentialSpecification[State],
    calls: Sequence[Call],
    max_steps: int = MAX_SEARCH_STEPS,
) -> Linearizability:
    """Whether the calls have a linearization under the register's specification."""
    return LinearizationSearch(register, calls, max_steps).run()
