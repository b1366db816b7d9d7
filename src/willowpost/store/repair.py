"""A learner's way into the core: into a lost voter's seat, or as one of two that the core grows by.

It asks; the log decides.
"""

from dataclasses import asdict

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Asked, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.apply.core import with_voters_added
from willowpost.state.kinds import DaemonState

ASK_EVERY = 1 * SECOND
WHOLE_WITHIN = 500 * MILLI


class Repair:
    """Invariant: asks only while it holds what the voters hold.

    By a read of its own that n - f of them answered.
    """

    def __init__(
        self, node_state: ReplicaState, command_client, incarnation: int = 0, max_voters: int = 0
    ):
        self.node_state = node_state
        self.command_client = command_client
        self.incarnation = incarnation
        self.max_voters = max_voters
        self.asked_at = 0

    def step(self, event, now: int) -> Plan:
        node_state = self.node_state
        if (
            not isinstance(event, Tick)
            or not node_state.bootstrapped
            or node_state.voter
            or now - self.asked_at < ASK_EVERY
            or not self._whole(now)
        ):
            return Plan()
        lost = self._lost()
        if lost is None and not self._may_add_voters():
            return Plan()
        self.asked_at = now
        if lost is None:
            op = {
                "op": "add_voters",
                "learner": node_state.me.identity,
                "incarnation": self.incarnation,
                "most": self.max_voters,
            }
            plan = self.command_client.step(Asked(None, (op,)), now)
            plan.note(
                "repair", "offers itself as one more voter", voters=len(node_state.tables.core)
            )
            return plan
        plan = self.command_client.step(
            Asked(
                None,
                ({"op": "replace_voter", "old": lost["identity"], "new": asdict(node_state.me)},),
            ),
            now,
        )
        plan.note("repair", "asks for a lost voter's seat", lost=lost["name"])
        return plan

    def _whole(self, now):
        return (
            self.node_state.fresh_as_of is not None
            and now - self.node_state.fresh_as_of <= WHOLE_WITHIN
        )

    def _lost(self):
        node_state = self.node_state
        seat = next(
            (member for member in node_state.tables.core if member["name"] == node_state.me.name),
            None,
        )
        if seat is not None:
            return seat
        known = node_state.tables.daemons
        return next(
            (
                member
                for member in node_state.tables.core
                if known.get(member["identity"], {}).get("state") == DaemonState.LOST.value
            ),
            None,
        )

    def _may_add_voters(self):
        """Once in a life, and again when the log would now say yes.

        Not each second for a second learner that never comes.
        """
        tables, me = self.node_state.tables, self.node_state.me.identity
        card = tables.daemons.get(me)
        if (
            card is None
            or card["incarnation"] != self.incarnation
            or len(tables.core) + 2 > self.max_voters
        ):
            return False
        offered = card.get("voter_offer")
        void = offered is not None and any(
            failure_verdict["daemon"] == me and failure_verdict["slot"] >= offered["slot"]
            for failure_verdict in tables.failure_verdicts
        )
        return offered is None or void or with_voters_added(tables, me) is not None
