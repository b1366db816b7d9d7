"""Quorum reads by a follower: used when no source keeps its tables fresh."""

from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.pending_reads import PendingReads
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.follower import Follower
from willowpost.node.node_state import NodeState
from willowpost.node.source_selection import MAX_TABLE_AGE_US
from willowpost.wire.messages import QuorumReadRequest, QuorumReadResponse

READ_INTERVAL_US = 150 * MILLISECOND
NEVER_US = -SECOND  # stands for the response of a voter that has sent none


class QuorumRead:
    """Requests from all voters the slot that they have reached.

    `fresh_as_of` becomes the time of the request only if n - f voters of the tables, queried under
    one epoch, all named a slot that the tables have reached. What was accepted before is on n - f
    disks of the voters then, or behind a replacement that the barrier of a new epoch put on n - f
    disks of the former ones, so one of the voters that answered would have named it (rabia.md,
    exception 1).
    """

    def __init__(self, node_state: NodeState, follower: Follower) -> None:
        self.node_state = node_state
        self.follower = follower
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "read")
        self.reads = PendingReads()
        # `NodeState.running_us` by the voter's identity
        self.last_response_at: dict[str, int] = {}
        self.last_read_at = -READ_INTERVAL_US

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event.

        On a tick, at most each READ_INTERVAL_US, begin a read if the tables are older than
        MAX_TABLE_AGE_US. A voter that names a later slot is polled.
        """
        plan = Plan()
        match event:
            case Received(source, QuorumReadResponse() as response) if (
                response.identity in self._voters()
            ):
                self._handle_response(source, response, now, plan)
            case Tick() if self._is_read_due(now):
                self._begin_read(now, plan)
        self._advance_freshness()
        return plan

    def _handle_response(
        self, source: str, response: QuorumReadResponse, now: int, plan: Plan
    ) -> None:
        self._record_contact(response.identity)
        if response.nonce not in self.reads.by_nonce:
            return
        self.reads.record_response(response.nonce, response.identity, response.slot)
        if response.slot > self.node_state.tables.slot:
            self.follower.poll(source, now, plan)

    def _is_read_due(self, now: int) -> bool:
        return (
            bool(self.node_state.tables.voters)
            and now - self.last_read_at >= READ_INTERVAL_US
            and self._is_stale(now)
        )

    def _begin_read(self, now: int, plan: Plan) -> None:
        nonce, self.last_read_at = self.nonces.next(), now
        self.reads.start(nonce, now, self.node_state.tables.epoch, {})
        for voter in self.node_state.tables.voters:
            plan.send(voter.address, QuorumReadRequest(nonce))

    def _record_contact(self, identity: str) -> None:
        """Record when a quorum was last reached; late responses count as well."""
        self.last_response_at[identity] = self.node_state.running_us
        newest_first = sorted(
            (self.last_response_at.get(voter, NEVER_US) for voter in self._voters()), reverse=True
        )
        quorum_at = newest_first[self._quorum() - 1]
        if quorum_at >= 0:
            node_state = self.node_state
            node_state.quorum_contact_at = max(node_state.quorum_contact_at or 0, quorum_at)

    def _quorum(self) -> int:
        return Thresholds(len(self.node_state.tables.voters)).quorum

    def _voters(self) -> frozenset[str]:
        return self.node_state.tables.voter_identities()

    def _is_stale(self, now: int) -> bool:
        age = self.node_state.tables_age(now)
        return age is None or age > MAX_TABLE_AGE_US

    def _advance_freshness(self) -> None:
        """Confirm the tables as of the newest read that a quorum has answered."""
        tables = self.node_state.tables
        requested_at = self.reads.complete_newest(tables.epoch, self._quorum(), tables.slot)
        if requested_at is not None:
            self.node_state.confirm_fresh(requested_at)
