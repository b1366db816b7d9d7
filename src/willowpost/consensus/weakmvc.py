"""Weak-MVC (Algorithm 2) as a pure function of the ballot states received in one slot."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any

from willowpost.consensus.coin import Coin
from willowpost.consensus.stages import BallotValue, Stage, stage_of
from willowpost.consensus.thresholds import Thresholds
from willowpost.wire.messages import BallotState

# How a slot is decided
# ---------------------
#
# A replica in a stage collects one value of each ballot state that it has received. Once n - f
# values are there, it appends to its own ballot state and is in the next stage:
#
#   stage      collects             appends                                            then
#   ---------  -------------------  -------------------------------------------------  ------------
#   EXCHANGE   proposals            state 1 if a majority's proposal is known, else 0  STATE
#   STATE      states of the phase  vote v if a majority has state v, else UNSURE      VOTE
#   VOTE       votes of the phase   nothing if f + 1 votes are v: the verdict is v     DECIDED
#                                   state v if any vote is v, else the coin            STATE
#
# Why it is safe:
#
# - States and votes are only appended, never changed, and a ballot state is on disk before it
#   leaves. So a replica never contradicts itself, and what it sends later extends what it sent.
# - Two votes for different values cannot be cast in one phase: each needs a majority of states.
# - After f + 1 votes for v, each set of n - f votes has one of them: whoever enters the next phase
#   does so with state v.
#
# Where it differs from the paper (docs/design/rabia.md, exception 3): a ballot state with a state
# or vote of 1 also names, in `agreed`, the proposal that the 1 stands for, because the disks that
# are left after a restart might not show the majority any more. Therefore the coin's 1 is taken
# only by a replica that knows the proposal; the others take 0. Safety does not depend on the coin.
# Nor does termination suffer: if a vote of 1 was cast, a majority had state 1 and every replica
# knows the proposal; if none was, the coin's 0, which all take, ends the slot as in the paper.


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of Weak-MVC in one slot.

    Attributes:
        value: ZERO or ONE; equal at every replica that reaches a verdict in this slot.
        phase: the phase, from 1 on, in which this replica reached it.
    """

    value: BallotValue
    phase: int


StepResult = BallotState | Verdict
Values = Counter[Any]  # of one stage: proposals (str), or states or votes (int)
Collect = Callable[[Collection[BallotState], int], Values]
Advance = Callable[[BallotState, Values, Thresholds, Coin], StepResult]


def _proposals(ballot_states: Collection[BallotState], phase: int) -> Values:
    return Counter(ballot_state.proposal for ballot_state in ballot_states)


def _states(ballot_states: Collection[BallotState], phase: int) -> Values:
    return Counter(
        ballot_state.states[phase - 1]
        for ballot_state in ballot_states
        if len(ballot_state.states) >= phase
    )


def _votes(ballot_states: Collection[BallotState], phase: int) -> Values:
    return Counter(
        ballot_state.votes[phase - 1]
        for ballot_state in ballot_states
        if len(ballot_state.votes) >= phase
    )


def _with_first_state(
    own: BallotState, proposals: Values, thresholds: Thresholds, coin: Coin
) -> BallotState:
    return replace(own, states=(int(bool(own.agreed)),))


def _with_vote(own: BallotState, states: Values, thresholds: Thresholds, coin: Coin) -> BallotState:
    for value in (BallotValue.ZERO, BallotValue.ONE):
        if states[value] >= thresholds.majority:
            return replace(own, votes=(*own.votes, int(value)))
    return replace(own, votes=(*own.votes, int(BallotValue.UNSURE)))


def _with_next_state(
    own: BallotState, votes: Values, thresholds: Thresholds, coin: Coin
) -> StepResult:
    phase = len(own.votes)
    for value in (BallotValue.ZERO, BallotValue.ONE):
        if votes[value] >= thresholds.deciding_votes:
            return Verdict(value, phase)
        if votes[value]:
            return replace(own, states=(*own.states, int(value)))
    state = int(coin.flip(own.epoch, own.slot, phase) and bool(own.agreed))
    return replace(own, states=(*own.states, state))


@dataclass(frozen=True, slots=True)
class Transition:
    """How a stage ends.

    Attributes:
        collect: returns the values of this stage and phase, one of each ballot state that has one.
        advance: returns the extended ballot state or the verdict, given n - f values.
    """

    collect: Collect
    advance: Advance


TRANSITIONS: Mapping[Stage, Transition] = MappingProxyType(
    {
        Stage.EXCHANGE: Transition(_proposals, _with_first_state),
        Stage.STATE: Transition(_states, _with_vote),
        Stage.VOTE: Transition(_votes, _with_next_state),
    }
)


class WeakMvc:
    """Computes a replica's next ballot state in one slot.

    Each step takes one transition of `TRANSITIONS` or none.
    """

    def __init__(self, coin: Coin | None = None):
        self.coin = coin or Coin()

    def step(
        self, own: BallotState, received: Mapping[str, BallotState], thresholds: Thresholds
    ) -> StepResult | None:
        """Take one transition if enough has been received.

        Args:
            own: this replica's ballot state in the open slot.
            received: the newest ballot state per identity, the own one included.
            thresholds: of the epoch in force.

        Returns:
            The extended ballot state, the verdict if the slot is decided, or None if too few ballot
            states have arrived.
        """
        if not own.agreed:
            own = replace(own, agreed=agreed_proposal(received, thresholds) or "")
        transition = TRANSITIONS[stage_of(own.states, own.votes)]
        values = transition.collect(received.values(), len(own.states))
        if values.total() < thresholds.quorum:
            return None
        return transition.advance(own, values, thresholds, self.coin)


def agreed_proposal(received: Mapping[str, BallotState], thresholds: Thresholds) -> str | None:
    """Return the key of the majority's proposal (Algorithm 3: FindReturnValue), if it is known.

    It is known if any replica has named it in `agreed`, or if a majority of the received proposals
    is equal.
    """
    for ballot_state in received.values():
        if ballot_state.agreed:
            return ballot_state.agreed
    proposals = Counter(
        ballot_state.proposal for ballot_state in received.values() if ballot_state.proposal
    )
    for proposal, count in proposals.items():
        if count >= thresholds.majority:
            return proposal
    return None
