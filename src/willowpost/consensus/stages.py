"""The stages of Weak-MVC within one slot, and the values that states and votes take."""

from collections.abc import Mapping, Sequence
from enum import Enum, IntEnum
from types import MappingProxyType


class BallotValue(IntEnum):
    """The value of a state, vote or verdict; a state or verdict is never UNSURE."""

    ZERO = 0  # forfeit the slot
    ONE = 1  # take the majority proposal
    UNSURE = 2  # the paper's "?"


class Stage(Enum):
    """Where a replica stands in its open slot; the transitions are in `STAGE_TRANSITIONS`.

    EXCHANGE collects proposals, STATE collects the states and VOTE the votes of the current phase.
    """

    EXCHANGE = "exchange"
    STATE = "state"
    VOTE = "vote"
    DECIDED = "decided"


# What may follow what (Algorithm 2): a vote round ends the slot or opens the next phase.
STAGE_TRANSITIONS: Mapping[Stage, frozenset[Stage]] = MappingProxyType(
    {
        Stage.EXCHANGE: frozenset({Stage.STATE}),
        Stage.STATE: frozenset({Stage.VOTE}),
        Stage.VOTE: frozenset({Stage.STATE, Stage.DECIDED}),
        Stage.DECIDED: frozenset(),
    }
)


def stage_of(states: Sequence[int], votes: Sequence[int]) -> Stage:
    """Return the stage of an undecided slot.

    Args:
        states: the replica's states so far, one per phase.
        votes: the replica's votes so far, one per phase; as many as the states or one fewer.
    """
    if not states:
        return Stage.EXCHANGE
    if len(votes) < len(states):
        return Stage.STATE
    return Stage.VOTE
