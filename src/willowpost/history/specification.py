"""What the linearizability check needs to know of a register: its sequential specification."""

from collections.abc import Hashable, Sequence
from typing import Protocol, TypeVar

from willowpost.history.records import Call

State = TypeVar("State", bound=Hashable)


class SequentialSpecification(Protocol[State]):
    """What calls that are made one after the other may answer."""

    @property
    def initial(self) -> State:
        """The state before the first call."""

    def apply(self, state: State, call: Call) -> tuple[State, ...]:
        """The states that the call may leave behind with the answer it got.

        None if that answer is impossible in this state. For a call with an unknown outcome: the
        states in which the call took effect.
        """

    def is_read(self, call: Call) -> bool:
        """Whether the call cannot change the state with the answer that it got."""

    def is_obsolete(self, state: State, call: Call) -> bool:
        """Whether the call's answer is impossible from this state on for ever."""

    def simplify(self, calls: Sequence[Call]) -> list[Call]:
        """Calls with the same linearizations among which more are alike."""

    def initial_states(self, calls: Sequence[Call], before: Sequence[Call]) -> list[State]:
        """Every state that the calls `before` may have left, as far as `calls` can tell."""
