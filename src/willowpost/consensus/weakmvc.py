"""Algorithm 2 (Weak-MVC) as a pure step over the ballot states heard in one slot."""

from collections import Counter
from dataclasses import dataclass, replace

from willowpost.consensus.coin import Coin
from willowpost.consensus.kinds import BallotValue, Stage, stage_of
from willowpost.consensus.thresholds import Thresholds
from willowpost.wire.messages import BallotState


@dataclass(frozen=True, slots=True)
class Verdict:
    """Invariant: value is ZERO or ONE, and equal at every replica that reaches one in this slot."""

    value: BallotValue
    phase: int


class WeakMvc:
    """Invariants: step() takes one transition of kinds.NEXT or none.

    It never unsays a state or vote; a ballot state with a 1 in it names the proposal that the 1
    stands for.
    """

    def __init__(self, coin: Coin = Coin()):
        self.coin = coin
        self.moves = {
            Stage.EXCHANGE: self._exchanged,
            Stage.STATE: self._stated,
            Stage.VOTE: self._voted,
        }

    def step(
        self, own: BallotState, heard: dict[str, BallotState], limits: Thresholds
    ) -> BallotState | Verdict | None:
        if not own.agreed:
            own = replace(own, agreed=agreed_proposal(heard, limits) or "")
        return self.moves[stage_of(own.states, own.votes)](own, tuple(heard.values()), limits)

    def _exchanged(self, own, ballot_states, limits):
        if len(ballot_states) < limits.heard:
            return None
        return replace(own, states=(int(bool(own.agreed)),))

    def _stated(self, own, ballot_states, limits):
        phase = len(own.states)
        states = Counter(
            ballot_state.states[phase - 1]
            for ballot_state in ballot_states
            if len(ballot_state.states) >= phase
        )
        if states.total() < limits.heard:
            return None
        vote = next(
            (value for value in (0, 1) if states[value] >= limits.majority), int(BallotValue.UNSURE)
        )
        return replace(own, votes=(*own.votes, vote))

    def _voted(self, own, ballot_states, limits):
        phase = len(own.votes)
        votes = Counter(
            ballot_state.votes[phase - 1]
            for ballot_state in ballot_states
            if len(ballot_state.votes) >= phase
        )
        if votes.total() < limits.heard:
            return None
        known = next((value for value in (0, 1) if votes[value]), None)
        if known is not None and votes[known] >= limits.decides:
            return Verdict(BallotValue(known), phase)
        # Nobody in this phase voted for a value. The coin's 1 is taken only by who can say what it
        # stands for;
        # when any vote of 1 was cast, every replica has heard of it by now (see
        # docs/design/rabia.md).
        state = (
            known
            if known is not None
            else int(self.coin.flip(own.epoch, own.slot, phase) and bool(own.agreed))
        )
        return replace(own, states=(*own.states, state))


def agreed_proposal(heard: dict[str, BallotState], limits: Thresholds) -> str | None:
    """Algorithm 3: the proposal that a majority named, as counted here or as any replica has said."""
    counts = Counter(
        ballot_state.proposal for ballot_state in heard.values() if ballot_state.proposal
    )
    return next(
        (ballot_state.agreed for ballot_state in heard.values() if ballot_state.agreed),
        next((key for key, count in counts.items() if count >= limits.majority), None),
    )
