"""The last source of freshness: a follower whom no source keeps fresh asks the voters themselves how far they are."""
from willowpost.common.clock import MILLI
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.board import FollowBoard
from willowpost.node.follower import TOO_OLD, Follower
from willowpost.wire.messages import ReadAsk, ReadTell

ASK_EVERY = 150 * MILLI


class Question:
    """Invariant: freshAsOf becomes the moment of asking only if n - f voters of our own tables, asked under one epoch, all
    said a slot that we hold. What was accepted before is on n - f disks of the voters then, or behind a swap that the
    barrier of a new epoch put on n - f disks of the former ones: one of those asked would have named it (rabia.md, exception 1)."""

    def __init__(self, board: FollowBoard, follower: Follower):
        self.board, self.follower = board, follower
        self.nonce = 0
        self.askedAt = -ASK_EVERY
        self.epoch = 0
        self.told: dict[str, int] = {}

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Received(source, ReadTell(nonce, identity, slot)) if nonce == self.nonce and identity in self._voters():
                self.told[identity] = slot
                if slot > self.board.tables.slot:
                    self.follower.poll(source, now, plan)
            case Tick() if self.board.tables.core and now - self.askedAt >= ASK_EVERY and self._stale(now):
                self.nonce, self.askedAt, self.epoch, self.told = self.nonce + 1, now, self.board.tables.epoch, {}
                plan.sends += [(member["address"], ReadAsk(self.nonce)) for member in self.board.tables.core]
        self._settle()
        return plan

    def _voters(self):
        return {member["identity"] for member in self.board.tables.core}

    def _stale(self, now):
        age = self.board.age(now)
        return age is None or age > TOO_OLD

    def _settle(self):
        board = self.board
        if (self.told and board.tables.epoch == self.epoch and len(self.told) >= Thresholds(len(board.tables.core)).heard
                and max(self.told.values()) <= board.tables.slot):
            board.whole_as_of(self.askedAt)
            self.told = {}
