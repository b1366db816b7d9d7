"""Laggards and learners: what was decided without them."""
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.board import StoreBoard
from willowpost.state.tables import tables_from
from willowpost.wire.messages import Ask, Mark, Stance, Tell

TOLD_MOST = 64


class Catchup:
    """Invariant: a decision or picture is taken only from slot tables.slot on; nothing decided is ever undone."""

    def __init__(self, board: StoreBoard):
        self.board = board
        self.askedAt = 0
        self.behindSince = None
        self.markedAt = 0

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Received(source, Stance(again=True, slot=slot)) if slot < self.board.tables.slot:
                self._tell(source, slot, plan)
            case Received(source, Ask() as ask):
                self._answer(source, ask, plan)
            case Received(_, Tell() as told):
                self._take(told, now, plan)
            case Received(_, Mark(identity, slot)):
                self.board.hear_mark(identity, slot)
            case Tick():
                self._tick(now, plan)
        return plan

    def _answer(self, source, ask, plan):
        board = self.board
        if ask.key and ask.slot >= board.tables.slot:
            command = board.queue.commands.get(ask.key)
            if command is None and board.own is not None and board.own.proposal == ask.key:
                command = board.own.command
            if command is not None:
                plan.send(source, Tell(ask.slot, command=command))
        elif board.founded:
            self._tell(source, ask.slot, plan, ask.blank)

    def _tell(self, source, slot, plan, blank=False):
        board = self.board
        if blank or slot < board.logFloor:
            plan.send(source, Tell(board.tables.slot, picture=board.tables.text()))
        else:
            last = min(slot + TOLD_MOST, board.tables.slot)
            plan.send(source, Tell(last, tuple(board.log[each] for each in range(slot, last))))

    def _take(self, told, now, plan):
        board = self.board
        if told.picture:
            self._take_picture(told.picture, plan)
        for decision in told.decisions:
            if decision.slot == board.tables.slot and board.founded:
                board.commit(decision, plan)
        if told.decisions or told.picture:
            self.askedAt = 0
            self.behindSince = None if self._furthest() <= board.tables.slot else self.behindSince

    def _take_picture(self, text, plan):
        board, tables = self.board, tables_from(text)
        if not self._newer(tables):
            return
        board.log, board.logFloor, board.turnedAt = {}, tables.slot, tables.slot
        board.take(tables)
        plan.turn = board.generation()
        plan.records.clear()
        plan.note("catchup", "picture taken", slot=tables.slot)

    def _newer(self, tables) -> bool:
        return tables.slot > self.board.tables.slot or not self.board.founded

    def _furthest(self) -> int:
        return max((self.board.marks.get(identity, 0) for identity in self.board.members), default=0)

    def _tick(self, now, plan):
        board = self.board
        if not board.founded:
            return
        if now - self.markedAt >= board.pace.mark and board.voter:
            self.markedAt = now
            plan.sends += [(address, Mark(board.me.identity, board.tables.slot)) for address in board.others()]
        behind = not board.voter or self._furthest() > board.tables.slot
        self.behindSince = None if not behind else self.behindSince if self.behindSince is not None else now
        if behind and now - self.behindSince >= board.pace.ask // 2 and now - self.askedAt >= board.pace.ask:
            self.askedAt = now
            ahead = [address for identity, address in sorted(board.members.items(), key=lambda held: -board.marks.get(held[0], 0))
                     if identity != board.me.identity]
            # the furthest first; each round another, so that one dead teller does not hold us up
            if ahead:
                plan.send(ahead[(now // board.pace.ask) % min(3, len(ahead))], Ask(board.tables.slot))
