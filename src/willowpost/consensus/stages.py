"""The stages of Weak-MVC within one slot, and the values that states and votes take."""

from enum import Enum, IntEnum


class BallotValue(IntEnum):
    """The value of a state, vote or verdict; a state or verdict is never UNSURE."""

    ZERO = 0  # forfeit the slot
    ONE = 1  # take the majority proposal
    UNSURE = 2  # the paper's "?"


class Stage(Enum):
    """Where a replica stands in its open slot; the transitions are in `NEXT`.

    EXCHANGE collects proposals, STATE collects the states and VOTE the votes of the current phase.
    """

    EXCHANGE = "exchange"
    STATE = "state"
    VOTE = "vote"
    DECIDED = "decided"


# What may follow what (Algorithm 2): a vote round ends the slot or opens the next phase.
NEXT = {
    Stage.EXCHANGE: {Stage.STATE},
    Stage.STATE: {Stage.VOTE},
    Stage.VOTE: {Stage.STATE, Stage.DECIDED},
    Stage.DECIDED: set(),
}


def stage_of(states, votes) -> Stage:
    """Return the stage of an undecided slot.

    Args:
        states: the replica's states so far, one per phase.
        votes: the replica's votes so far, one per phase; as many as the states or one fewer.
    """
    return Stage.EXCHANGE if not states else Stage.STATE if len(votes) < len(states) else Stage.VOTE
