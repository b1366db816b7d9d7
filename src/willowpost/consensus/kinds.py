"""The steps of one slot and the ballots cast in it."""

from enum import Enum, IntEnum


class BallotValue(IntEnum):
    ZERO = 0  # forfeit the slot
    ONE = 1  # take the majority proposal
    UNSURE = 2  # the paper's "?"


class Stage(Enum):
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
    return Stage.EXCHANGE if not states else Stage.STATE if len(votes) < len(states) else Stage.VOTE
