"""Quorum reads, which tell how fresh this store's tables are, and state updates for followers."""

from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import leading
from willowpost.consensus.open_reads import OpenReads
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.wire.messages import Poll, QuorumReadRequest, QuorumReadResponse, StateUpdate

DECISIONS_MOST = 128  # in one StateUpdate
DECISIONS_BYTES_MOST = 512 * 1024


class Reads:
    """Runs quorum reads and answers reads and polls.

    Everything accepted before `fresh_as_of` is applied here. A read counts only if the epoch did
    not change while it ran, and only with answers to that very read: an answer to an earlier
    incarnation's read may name a slot from before an order that was accepted meanwhile.
    """

    def __init__(self, node_state: ReplicaState, incarnation: int = 0):
        self.node_state = node_state
        self.nonces = NonceSequence(node_state.member.identity, incarnation, "read")
        self.reads = OpenReads()
        self.begun_at = 0

    def step(self, event, now: int) -> Plan:
        """Handle one event; a read that has its quorum advances `fresh_as_of`.

        A voter answers `QuorumReadRequest`; a bootstrapped store answers `Poll`; a tick begins a
        read each `pace.read`.
        """
        plan = Plan()
        match event:
            case Received(source, QuorumReadRequest(nonce)) if self.node_state.is_voter:
                plan.send(
                    source,
                    QuorumReadResponse(
                        nonce, self.node_state.member.identity, self.node_state.tables.slot
                    ),
                )
            case Received(_, QuorumReadResponse(nonce, identity, slot)) if (
                nonce in self.reads.open and identity in self.node_state.voter_addresses
            ):
                self.reads.hear(nonce, identity, slot)
                # A voter that was replaced while it was unreachable learns so that it is behind.
                self.node_state.record_synced_index(identity, slot)
            case Received(source, Poll() as poll):
                self._state_update(source, poll, now, plan)
            case Tick():
                self._tick(now, plan)
        self._settle()
        return plan

    def _tick(self, now, plan):
        node_state = self.node_state
        if not node_state.is_bootstrapped or now - self.begun_at < node_state.tuning.read:
            return
        nonce, self.begun_at = self.nonces.next(), now
        # a learner counts for nothing, but reads
        told = {node_state.member.identity: node_state.tables.slot} if node_state.is_voter else {}
        self.reads.begin(nonce, now, node_state.tables.epoch, told)
        plan.sends += [
            (address, QuorumReadRequest(nonce)) for address in node_state.other_addresses()
        ]

    def _settle(self):
        node_state = self.node_state
        asked_at = self.reads.settled(
            node_state.tables.epoch, node_state.quorum_sizes.quorum, node_state.tables.slot
        )
        if asked_at is not None:
            node_state.fresh_as_of = asked_at

    def _state_update(self, source, poll, now, plan):
        node_state = self.node_state
        if not node_state.is_bootstrapped:
            return
        fresh = node_state.fresh_as_of is not None and node_state.is_voter
        age = now - node_state.fresh_as_of if fresh else 0
        if poll.blank or poll.slot < node_state.log_floor:
            self._send_piece(source, poll, age, fresh, now, plan)
            return
        most = min(poll.slot + DECISIONS_MOST, node_state.tables.slot)
        decisions = (node_state.log[slot] for slot in range(poll.slot, most))
        told = leading(decisions, DECISIONS_BYTES_MOST)
        last = poll.slot + len(told)
        # Below the newest slot, this store's freshness does not hold for the follower yet.
        whole = fresh and last >= node_state.tables.slot
        plan.send(source, StateUpdate(poll.nonce, last, age, whole, told))

    def _send_piece(self, source, poll, age, fresh, now, plan):
        node_state = self.node_state
        piece = node_state.outgoing_snapshot.chunk(
            node_state.tables,
            -1 if poll.blank else poll.slot,
            node_state.log_floor,
            poll.snapshot,
            now,
        )
        # The follower is fresh only once it holds all that is here, not just the snapshot's slot.
        plan.send(source, StateUpdate(poll.nonce, node_state.tables.slot, age, fresh, piece=piece))
