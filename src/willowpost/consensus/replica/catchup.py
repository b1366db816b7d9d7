"""Laggards and learners: what was decided without them."""

from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.tables import tables_from
from willowpost.wire.messages import Ask, BallotState, SyncedIndex, Tell

TOLD_MOST = 64


class Catchup:
    """Invariant: a decision or snapshot is taken only from slot tables.slot on.

    Nothing decided is ever undone.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.asked_at = 0
        self.behind_since = None
        self.synced_index_sent_at = 0

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Received(source, BallotState(again=True, slot=slot)) if (
                slot < self.node_state.tables.slot
            ):
                self._tell(source, slot, plan)
            case Received(source, Ask() as ask):
                self._answer(source, ask, plan)
            case Received(_, Tell() as told):
                self._take(told, now, plan)
            case Received(_, SyncedIndex(identity, slot)):
                self.node_state.hear_synced_index(identity, slot)
            case Tick():
                self._tick(now, plan)
        return plan

    def _answer(self, source, ask, plan):
        node_state = self.node_state
        if ask.key and ask.slot >= node_state.tables.slot:
            command = node_state.queue.commands.get(ask.key)
            if (
                command is None
                and node_state.own is not None
                and node_state.own.proposal == ask.key
            ):
                command = node_state.own.command
            if command is not None:
                plan.send(source, Tell(ask.slot, command=command))
        elif node_state.bootstrapped:
            self._tell(source, ask.slot, plan, ask.blank)

    def _tell(self, source, slot, plan, blank=False):
        node_state = self.node_state
        if blank or slot < node_state.log_floor:
            plan.send(source, Tell(node_state.tables.slot, snapshot=node_state.tables.text()))
        else:
            last = min(slot + TOLD_MOST, node_state.tables.slot)
            plan.send(source, Tell(last, tuple(node_state.log[each] for each in range(slot, last))))

    def _take(self, told, now, plan):
        node_state = self.node_state
        if told.snapshot:
            self._take_snapshot(told.snapshot, plan)
        for decision in told.decisions:
            if decision.slot == node_state.tables.slot and node_state.bootstrapped:
                node_state.commit(decision, plan)
        if told.decisions or told.snapshot:
            self.asked_at = 0
            self.behind_since = (
                None if self._furthest() <= node_state.tables.slot else self.behind_since
            )

    def _take_snapshot(self, text, plan):
        node_state, tables = self.node_state, tables_from(text)
        if not self._newer(tables):
            return
        node_state.log, node_state.log_floor, node_state.rotated_at = {}, tables.slot, tables.slot
        node_state.take(tables)
        plan.rotate = node_state.segment()
        plan.records.clear()
        plan.note("catchup", "snapshot taken", slot=tables.slot)

    def _newer(self, tables) -> bool:
        return tables.slot > self.node_state.tables.slot or not self.node_state.bootstrapped

    def _furthest(self) -> int:
        return max(
            (
                self.node_state.synced_indexes.get(identity, 0)
                for identity in self.node_state.members
            ),
            default=0,
        )

    def _tick(self, now, plan):
        node_state = self.node_state
        if not node_state.bootstrapped:
            return
        if now - self.synced_index_sent_at >= node_state.pace.synced_index and node_state.voter:
            self.synced_index_sent_at = now
            plan.sends += [
                (address, SyncedIndex(node_state.me.identity, node_state.tables.slot))
                for address in node_state.others()
            ]
        behind = not node_state.voter or self._furthest() > node_state.tables.slot
        self.behind_since = (
            None if not behind else self.behind_since if self.behind_since is not None else now
        )
        if (
            behind
            and now - self.behind_since >= node_state.pace.ask // 2
            and now - self.asked_at >= node_state.pace.ask
        ):
            self.asked_at = now
            ahead = [
                address
                for identity, address in sorted(
                    node_state.members.items(),
                    key=lambda held: -node_state.synced_indexes.get(held[0], 0),
                )
                if identity != node_state.me.identity
            ]
            # the furthest first; each round another, so that one dead teller does not hold us up
            if ahead:
                plan.send(
                    ahead[(now // node_state.pace.ask) % min(3, len(ahead))],
                    Ask(node_state.tables.slot),
                )
