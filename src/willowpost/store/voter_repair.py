"""How a learner becomes a voter: by a request that the log decides.

It replaces a voter that is lost or leaves, or is one of two learners that the core grows by.
"""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.apply.voters import (
    is_change_complete,
    replaceable_by,
    was_lost_since,
    with_voters_added,
)
from willowpost.state.operations import OfferVoter, OpenEpoch, ReplaceVoter

ASK_EVERY = 1 * SECOND
WHOLE_WITHIN = 500 * MILLI
# A request that was not decided by then is not submitted again; a new one is made while it is
# still wanted.
ASKED_FOR = 2 * SECOND


class VoterRepair:
    """Asks for a voter's place, but only while it holds what the voters hold.

    That is known by a quorum read of its own. A voter has the first slot of a new epoch decided, so
    that the log shows the change of voters to be finished.
    """

    def __init__(
        self, node_state: ReplicaState, command_client, incarnation: int = 0, max_voters: int = 0
    ):
        self.node_state = node_state
        self.command_client = command_client
        self.incarnation = incarnation
        self.max_voters = max_voters
        self.asked_at = 0
        self.noted = False
        self.opening = 0  # the last epoch whose first slot it saw to
        self.open_at = 0  # when it asks for that slot
        self.leaving = False  # set by who ends this process: it asks for nothing any more

    def step(self, event, now: int) -> Plan:
        """On a tick: send the operation that is due, if any; a request at most once a second."""
        if not isinstance(event, Tick) or not self.node_state.is_bootstrapped:
            return Plan()
        if self.node_state.is_voter:
            return self._open_epoch(now)
        if self.leaving or now - self.asked_at < ASK_EVERY or not self._whole(now):
            return Plan()
        plan = Plan()
        self._note_readiness(plan)
        lost = self._lost()
        if lost is not None:
            return plan.join(self._ask_for_seat(lost, now))
        return plan.join(self._offer(now)) if self._may_add_voters() else plan

    def _note_readiness(self, plan) -> None:
        """Log once per incarnation that this store could replace a voter."""
        tables = self.node_state.tables
        if not self.noted and self.node_state.member.identity in tables.daemons:
            self.noted = True
            plan.log("repair", "a learner that holds what the voters hold", slot=tables.slot)

    def _open_epoch(self, now) -> Plan:
        """Have a slot decided after the last change of the voters, until the log has gone on.

        A new voter asks as soon as it votes; the others a second later, in case it is lost
        meanwhile.
        """
        tables = self.node_state.tables
        if is_change_complete(tables):
            return Plan()
        if self.opening != tables.epoch:
            self.opening = tables.epoch
            self.open_at = now + ASK_EVERY if self._was_voter_before(tables) else now
        if now < self.open_at:
            return Plan()
        self.open_at = now + ASK_EVERY
        return self._ask(OpenEpoch(tables.epoch), now, ASKED_FOR)

    def _was_voter_before(self, tables) -> bool:
        me = self.node_state.member.identity
        return me in tables.previous_voters.identities()

    def _ask_for_seat(self, member, now) -> Plan:
        operation = ReplaceVoter(member.identity, self.node_state.member)
        plan = self._ask(operation, now, ASKED_FOR)
        plan.log("repair", "asks for a voter's seat", replaced=member.name)
        return plan

    def _offer(self, now) -> Plan:
        offer = OfferVoter(self.node_state.member.identity, self.incarnation, self.max_voters)
        plan = self._ask(offer, now)
        voters = len(self.node_state.tables.voters)
        plan.log("repair", "offers itself as one more voter", voters=voters)
        return plan

    def _ask(self, op, now, lifetime: int | None = None) -> Plan:
        self.asked_at = now
        return self.command_client.step(SubmitOperations(None, (op,), lifetime), now)

    def _whole(self, now):
        fresh_as_of = self.node_state.fresh_as_of
        return fresh_as_of is not None and now - fresh_as_of <= WHOLE_WITHIN

    def _lost(self):
        """The voter to replace: the one formerly on this machine, a lost or a leaving one."""
        return replaceable_by(self.node_state.tables, self.node_state.member)

    def _may_add_voters(self):
        """Whether to offer this store as one more voter.

        Once per incarnation, and again when the log would accept the offer now or has dropped it;
        not each second while there is no second learner.
        """
        tables, me = self.node_state.tables, self.node_state.member.identity
        learner = tables.daemons.get(me)
        if (
            learner is None
            or learner.incarnation != self.incarnation
            or len(tables.voters) + 2 > self.max_voters
        ):
            return False
        offered = learner.voter_offer
        void = offered is not None and was_lost_since(tables, learner, offered.slot)
        return offered is None or void or with_voters_added(tables, me) is not None
