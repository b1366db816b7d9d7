"""Quorum reads, which prove how fresh this store's tables are, and state updates for followers."""

from typing import Any

from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import longest_prefix
from willowpost.consensus.pending_reads import PendingReads
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.snapshot_transfer import NO_SLOT
from willowpost.wire.messages import Poll, QuorumReadRequest, QuorumReadResponse, StateUpdate

MAX_UPDATE_DECISIONS = 128  # in one StateUpdate
MAX_UPDATE_BYTES = 512 * 1024


class QuorumReads:
    """Runs quorum reads and answers reads and polls.

    Everything accepted before `fresh_as_of` is applied here. A read counts only if the epoch did
    not change while it ran, and only with responses to that very read: a response to an earlier
    incarnation's read may name a slot from before a command that was accepted meanwhile.
    """

    def __init__(self, node_state: ReplicaState, incarnation: int = 0):
        self.node_state = node_state
        self.nonces = NonceSequence(node_state.member.identity, incarnation, "read")
        self.reads = PendingReads()
        self.started_at = 0  # the newest read; µs, own clock

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event; a read that has its quorum advances `fresh_as_of`.

        A voter answers `QuorumReadRequest`; a bootstrapped store answers `Poll`; a tick starts a
        read each `quorum_read_interval_us`.
        """
        plan = Plan()
        match event:
            case Received(source, QuorumReadRequest(nonce)) if self.node_state.is_voter:
                plan.send(source, self._response(nonce))
            case Received(_, QuorumReadResponse(nonce, identity, slot)) if (
                nonce in self.reads.by_nonce and identity in self.node_state.voter_addresses
            ):
                self.reads.record_response(nonce, identity, slot)
                # A voter that was replaced while it was unreachable learns so that it is behind.
                self.node_state.record_synced_index(identity, slot)
            case Received(source, Poll() as poll):
                self._answer_poll(source, poll, now, plan)
            case Tick():
                self._start_read(now, plan)
        self._advance_freshness()
        return plan

    def _response(self, nonce: int) -> QuorumReadResponse:
        node_state = self.node_state
        return QuorumReadResponse(nonce, node_state.member.identity, node_state.tables.slot)

    def _start_read(self, now: int, plan: Plan) -> None:
        node_state = self.node_state
        is_due = now - self.started_at >= node_state.tuning.quorum_read_interval_us
        if not node_state.is_bootstrapped or not is_due:
            return
        nonce, self.started_at = self.nonces.next(), now
        # A learner reads, but is not part of the quorum.
        slots = {node_state.member.identity: node_state.tables.slot} if node_state.is_voter else {}
        self.reads.start(nonce, now, node_state.tables.epoch, slots)
        plan.sends += [
            (address, QuorumReadRequest(nonce)) for address in node_state.other_addresses()
        ]

    def _advance_freshness(self) -> None:
        tables = self.node_state.tables
        started_at = self.reads.complete_newest(
            tables.epoch, self.node_state.quorum_sizes.quorum, tables.slot
        )
        if started_at is not None:
            self.node_state.fresh_as_of = started_at

    def _answer_poll(self, source: str, poll: Poll, now: int, plan: Plan) -> None:
        node_state = self.node_state
        if not node_state.is_bootstrapped:
            return
        if poll.blank or poll.slot < node_state.log_floor:
            plan.send(source, self._snapshot_update(poll, now))
        else:
            plan.send(source, self._decisions_update(poll, now))

    def _freshness(self, now: int) -> tuple[bool, int]:
        """Return whether the age of the tables is known, and their age in µs (0: not known).

        A learner's own freshness does not count for its followers.
        """
        fresh_as_of = self.node_state.fresh_as_of
        if fresh_as_of is None or not self.node_state.is_voter:
            return False, 0
        return True, now - fresh_as_of

    def _decisions_update(self, poll: Poll, now: int) -> StateUpdate:
        node_state = self.node_state
        is_fresh, age = self._freshness(now)
        end = min(poll.slot + MAX_UPDATE_DECISIONS, node_state.tables.slot)
        candidates = (node_state.log[slot] for slot in range(poll.slot, end))
        decisions = longest_prefix(candidates, MAX_UPDATE_BYTES)
        next_slot = poll.slot + len(decisions)
        # Below the newest slot, this store's freshness does not hold for the follower yet.
        is_fresh = is_fresh and next_slot >= node_state.tables.slot
        return StateUpdate(poll.nonce, next_slot, age, is_fresh, decisions)

    def _snapshot_update(self, poll: Poll, now: int) -> StateUpdate:
        node_state = self.node_state
        is_fresh, age = self._freshness(now)
        chunk = node_state.outgoing_snapshot.chunk(
            node_state.tables,
            NO_SLOT if poll.blank else poll.slot,
            node_state.log_floor,
            poll.snapshot,
            now,
        )
        # The follower is fresh only once it has all that is here, not just the snapshot's slot.
        return StateUpdate(poll.nonce, node_state.tables.slot, age, is_fresh, piece=chunk)
