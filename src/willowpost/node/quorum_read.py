"""Quorum reads by a follower: used when no source keeps its tables fresh."""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.open_reads import OpenReads
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.follower import TOO_OLD, Follower
from willowpost.node.node_state import NodeState
from willowpost.wire.messages import QuorumReadRequest, QuorumReadResponse

ASK_EVERY = 150 * MILLI


class QuorumRead:
    """Asks all voters which slot they have reached.

    `fresh_as_of` becomes the time of asking only if n - f voters of the tables held here, asked
    under one epoch, all named a slot that is held here. What was accepted before is on n - f disks
    of the voters then, or behind a replacement that the barrier of a new epoch put on n - f disks
    of the former ones, so one of the voters asked would have named it (rabia.md, exception 1).
    """

    def __init__(self, node_state: NodeState, follower: Follower):
        self.node_state, self.follower = node_state, follower
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "read")
        self.reads = OpenReads()
        self.heard_at: dict[str, int] = {}  # voter -> when its last answer came
        self.asked_at = -ASK_EVERY

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        On a tick, at most each ASK_EVERY, begin a read if the tables are older than TOO_OLD. A
        voter that names a later slot is polled.
        """
        plan = Plan()
        match event:
            case Received(source, QuorumReadResponse(nonce, identity, slot)) if (
                identity in self._voters()
            ):
                self._note_heard(identity, now)
                if nonce in self.reads.open:
                    self.reads.hear(nonce, identity, slot)
                    if slot > self.node_state.tables.slot:
                        self.follower.poll(source, now, plan)
            case Tick() if (
                self.node_state.tables.voters
                and now - self.asked_at >= ASK_EVERY
                and self._stale(now)
            ):
                nonce, self.asked_at = self.nonces.next(), now
                self.reads.begin(nonce, now, self.node_state.tables.epoch, {})
                plan.sends += [
                    (voter.address, QuorumReadRequest(nonce))
                    for voter in self.node_state.tables.voters
                ]
        self._settle()
        return plan

    def _note_heard(self, identity, now):
        """Notes since when a quorum has been heard of; answers that are too late count as well."""
        self.heard_at[identity] = now
        moments = sorted(
            (self.heard_at.get(name, -SECOND) for name in self._voters()), reverse=True
        )
        node_state, quorum_at = self.node_state, moments[self._quorum() - 1]
        if quorum_at >= 0:
            node_state.quorum_contact_at = max(node_state.quorum_contact_at or 0, quorum_at)

    def _quorum(self):
        return Thresholds(len(self.node_state.tables.voters)).quorum

    def _voters(self):
        return self.node_state.tables.voter_identities()

    def _stale(self, now):
        age = self.node_state.age(now)
        return age is None or age > TOO_OLD

    def _settle(self):
        tables = self.node_state.tables
        asked_at = self.reads.settled(tables.epoch, self._quorum(), tables.slot)
        if asked_at is not None:
            self.node_state.confirm_as_of(asked_at)
