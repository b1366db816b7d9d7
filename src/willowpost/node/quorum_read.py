"""Quorum reads by a follower: used when no source keeps its tables fresh."""

from willowpost.common.clock import MILLI
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.follower import TOO_OLD, Follower
from willowpost.node.node_state import NodeState
from willowpost.wire.messages import ReadAsk, ReadTell

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
        card = node_state.card
        self.nonces = NonceSequence(card.id, card.incarnation, "read")
        self.nonce: int | None = None  # of the questions that were asked last
        self.asked_at = -ASK_EVERY
        self.epoch = 0
        self.told: dict[str, int] = {}

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        On a tick, at most each ASK_EVERY, begin a read if the tables are older than TOO_OLD. A
        voter that names a later slot is polled.
        """
        plan = Plan()
        match event:
            case Received(source, ReadTell(nonce, identity, slot)) if (
                nonce == self.nonce and identity in self._voters()
            ):
                self.told[identity] = slot
                if slot > self.node_state.tables.slot:
                    self.follower.poll(source, now, plan)
            case Tick() if (
                self.node_state.tables.core
                and now - self.asked_at >= ASK_EVERY
                and self._stale(now)
            ):
                self.nonce, self.asked_at, self.epoch, self.told = (
                    self.nonces.next(),
                    now,
                    self.node_state.tables.epoch,
                    {},
                )
                plan.sends += [
                    (member["address"], ReadAsk(self.nonce))
                    for member in self.node_state.tables.core
                ]
        self._settle()
        return plan

    def _voters(self):
        return {member["identity"] for member in self.node_state.tables.core}

    def _stale(self, now):
        age = self.node_state.age(now)
        return age is None or age > TOO_OLD

    def _settle(self):
        node_state = self.node_state
        if (
            self.told
            and node_state.tables.epoch == self.epoch
            and len(self.told) >= Thresholds(len(node_state.tables.core)).heard
            and max(self.told.values()) <= node_state.tables.slot
        ):
            node_state.whole_as_of(self.asked_at)
            self.told = {}
