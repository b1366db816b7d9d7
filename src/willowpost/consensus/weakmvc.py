"""Algorithm 2 (Weak-MVC) as a pure function of the ballot states received in one slot."""

from collections import Counter
from dataclasses import dataclass, replace

from willowpost.consensus.coin import Coin
from willowpost.consensus.stages import BallotValue, Stage, stage_of
from willowpost.consensus.thresholds import Thresholds
from willowpost.wire.messages import BallotState


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of Weak-MVC in one slot.

    Attributes:
        value: ZERO or ONE; equal at every replica that reaches a verdict in this slot.
        phase: the phase, from 1 on, in which this replica reached it.
    """

    value: BallotValue
    phase: int


class WeakMvc:
    """Computes a replica's next ballot state in one slot.

    Each step takes one transition of `kinds.NEXT` or none. States and votes are only appended,
    never changed. A ballot state that contains a 1 also names, in `agreed`, the proposal the 1
    refers to.
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
        """Take one transition if enough has been received.

        Args:
            own: this replica's ballot state in the open slot.
            heard: the newest ballot state received per identity, the own one included.
            limits: the thresholds of the epoch in force.

        Returns:
            The extended ballot state, the verdict if the slot is decided, or None if too few ballot
            states have arrived.
        """
        if not own.agreed:
            own = replace(own, agreed=agreed_proposal(heard, limits) or "")
        return self.moves[stage_of(own.states, own.votes)](own, tuple(heard.values()), limits)

    def _exchanged(self, own, ballot_states, limits):
        if len(ballot_states) < limits.quorum:
            return None
        return replace(own, states=(int(bool(own.agreed)),))

    def _stated(self, own, ballot_states, limits):
        phase = len(own.states)
        states = Counter(
            ballot_state.states[phase - 1]
            for ballot_state in ballot_states
            if len(ballot_state.states) >= phase
        )
        if states.total() < limits.quorum:
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
        if votes.total() < limits.quorum:
            return None
        known = next((value for value in (0, 1) if votes[value]), None)
        if known is not None and votes[known] >= limits.deciding_votes:
            return Verdict(BallotValue(known), phase)
        # Without any vote for a value the coin decides. Its 1 is taken only by a replica that knows
        # the proposal it refers to; if any vote of 1 was cast, every replica knows it by now (see
        # docs/design/rabia.md).
        state = (
            known
            if known is not None
            else int(self.coin.flip(own.epoch, own.slot, phase) and bool(own.agreed))
        )
        return replace(own, states=(*own.states, state))


def agreed_proposal(heard: dict[str, BallotState], limits: Thresholds) -> str | None:
    """Return the proposal of a majority (Algorithm 3), or None if none is known.

    It is known if any replica has named it in `agreed`, or if a majority of proposals is equal
    here.
    """
    counts = Counter(
        ballot_state.proposal for ballot_state in heard.values() if ballot_state.proposal
    )
    return next(
        (ballot_state.agreed for ballot_state in heard.values() if ballot_state.agreed),
        next((key for key, count in counts.items() if count >= limits.majority), None),
    )
