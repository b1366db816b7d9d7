"""How a learner becomes a voter: by a request that the log decides.

It replaces a voter that is lost or draining, or is one of two learners that the core grows by.
"""

from typing import Any

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.node.command_client import CommandClient
from willowpost.state.apply.voters import (
    is_change_complete,
    replaceable_by,
    was_lost_since,
    with_voters_added,
)
from willowpost.state.operations import OfferVoter, OpenEpoch, Operation, ReplaceVoter
from willowpost.state.tables import Tables
from willowpost.wire.messages import Member

REQUEST_INTERVAL_US = 1 * SECOND
MAX_TABLE_AGE_US = 500 * MILLI
# A request that was not decided by then is not retried; a new one is made while it is still
# wanted.
REQUEST_LIFETIME_US = 2 * SECOND
VOTERS_ADDED_AT_ONCE = 2


class VoterRepair:
    """Requests a vote, but only while this store has what the voters have.

    That is known by a quorum read of its own. A voter has the first slot of a new epoch decided, so
    that the log shows the change of voters to be complete.

    Args:
        node_state: of the store.
        command_client: submits the requests.
        incarnation: of this process.
        max_voters: how many voters the core may grow to; 0: it does not grow.
    """

    def __init__(
        self,
        node_state: ReplicaState,
        command_client: CommandClient,
        incarnation: int = 0,
        max_voters: int = 0,
    ) -> None:
        self.node_state = node_state
        self.command_client = command_client
        self.incarnation = incarnation
        self.max_voters = max_voters
        self.last_request_at = 0
        self.has_logged_readiness = False
        self.opening_epoch = 0  # the last epoch whose first slot it has requested
        self.next_open_at = 0  # when it requests that slot
        self.is_leaving = False  # set by who ends this process: it requests nothing any more

    def step(self, event: Any, now: int) -> Plan:
        """On a tick: send the operation that is due, if any; a request at most once a second."""
        if not isinstance(event, Tick) or not self.node_state.is_bootstrapped:
            return Plan()
        if self.node_state.is_voter:
            return self._open_epoch(now)
        is_due = not self.is_leaving and now - self.last_request_at >= REQUEST_INTERVAL_US
        if not is_due or not self._is_up_to_date(now):
            return Plan()
        plan = Plan()
        self._log_readiness(plan)
        voter = self._replaceable_voter()
        if voter is not None:
            return plan.join(self._request_replacement(voter, now))
        return plan.join(self._offer_as_voter(now)) if self._may_add_voters() else plan

    def _log_readiness(self, plan: Plan) -> None:
        """Log once per incarnation that this store could replace a voter."""
        tables = self.node_state.tables
        if not self.has_logged_readiness and self.node_state.member.identity in tables.daemons:
            self.has_logged_readiness = True
            plan.log("voter_repair", "learner up to date", slot=tables.slot)

    def _open_epoch(self, now: int) -> Plan:
        """Have a slot decided after the last change of the voters, until the log has gone on.

        A new voter requests it as soon as it votes; the others a second later, in case it is lost
        meanwhile.
        """
        tables = self.node_state.tables
        if is_change_complete(tables):
            return Plan()
        if self.opening_epoch != tables.epoch:
            self.opening_epoch = tables.epoch
            delay = REQUEST_INTERVAL_US if self._was_voter_before(tables) else 0
            self.next_open_at = now + delay
        if now < self.next_open_at:
            return Plan()
        self.next_open_at = now + REQUEST_INTERVAL_US
        return self._submit(OpenEpoch(tables.epoch), now, REQUEST_LIFETIME_US)

    def _was_voter_before(self, tables: Tables) -> bool:
        previous = tables.previous_voters
        return previous is not None and self.node_state.member.identity in previous.identities()

    def _request_replacement(self, voter: Member, now: int) -> Plan:
        operation = ReplaceVoter(voter.identity, self.node_state.member)
        plan = self._submit(operation, now, REQUEST_LIFETIME_US)
        plan.log(
            "voter_repair",
            "replacement of a voter requested",
            replaced=voter.name,
            identity=voter.identity,
        )
        return plan

    def _offer_as_voter(self, now: int) -> Plan:
        offer = OfferVoter(self.node_state.member.identity, self.incarnation, self.max_voters)
        plan = self._submit(offer, now)
        voters = len(self.node_state.tables.voters)
        plan.log("voter_repair", "offered as one more voter", voters=voters)
        return plan

    def _submit(self, operation: Operation, now: int, lifetime: int | None = None) -> Plan:
        self.last_request_at = now
        return self.command_client.step(SubmitOperations(None, (operation,), lifetime), now)

    def _is_up_to_date(self, now: int) -> bool:
        fresh_as_of = self.node_state.fresh_as_of
        return fresh_as_of is not None and now - fresh_as_of <= MAX_TABLE_AGE_US

    def _replaceable_voter(self) -> Member | None:
        """Return the voter to replace: the one formerly on this machine, a lost or draining one."""
        return replaceable_by(self.node_state.tables, self.node_state.member)

    def _may_add_voters(self) -> bool:
        """Whether to offer this store as one more voter.

        Once per incarnation, and again when the log would accept the offer now or has dropped it;
        not each second while there is no second learner.
        """
        tables, own_identity = self.node_state.tables, self.node_state.member.identity
        learner = tables.daemons.get(own_identity)
        if learner is None or learner.incarnation != self.incarnation:
            return False
        if len(tables.voters) + VOTERS_ADDED_AT_ONCE > self.max_voters:
            return False
        offer = learner.voter_offer
        if offer is None or was_lost_since(tables, learner, offer.slot):
            return True
        return with_voters_added(tables, own_identity) is not None
