"""Brings replicas and learners that are behind up to date.

A replica that is behind pulls. It has one request open at a time, asks again at once when an answer
brought it further, and turns to another source when none came. A source answers with as many
decisions as fit into one frame, or with a piece of a snapshot if it has compacted the slots that
are asked for.
"""

from willowpost.common.events import Received, Tick
from willowpost.common.formats import UnknownFormatError
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import leading
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.tables import tables_from
from willowpost.wire.messages import BallotState, CatchupRequest, CatchupResponse, SyncedIndex

DECISIONS_MOST = 64  # in one Tell
DECISIONS_BYTES_MOST = 512 * 1024
SOURCES_TRIED = 3  # the furthest ones; one dead source does not hold us up


class Catchup:
    """Requests and serves decisions and snapshots.

    A decision is applied only if its slot is `tables.slot`; a snapshot only if it is newer than the
    tables, or there are none yet. Nothing that was decided is ever undone.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.asked_at = 0
        self.behind_since = None
        self.synced_index_sent_at = 0

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        Answers a `CatchupRequest`, and a resent ballot state of a decided slot; applies
        a `CatchupResponse`; records a `SyncedIndex`. On a tick it reports the own synced index and
        asks for what is missing.
        """
        plan = Plan()
        match event:
            case Received(source, BallotState(again=True, slot=slot)) if (
                self.node_state.log_floor <= slot < self.node_state.tables.slot
            ):
                # one that needs a snapshot pulls it, piece by piece
                self._tell(source, CatchupRequest(slot), now, plan)
            case Received(source, CatchupRequest() as ask):
                self._answer(source, ask, now, plan)
            case Received(source, CatchupResponse() as told):
                self._take(source, told, now, plan)
            case Received(_, SyncedIndex(identity, slot)):
                self.node_state.record_synced_index(identity, slot)
            case Tick():
                self._tick(now, plan)
        return plan

    def _answer(self, source, ask, now, plan):
        if ask.key and ask.slot >= self.node_state.tables.slot:
            command = self._command(ask.key)
            if command is not None:
                plan.send(source, CatchupResponse(ask.slot, command=command))
        elif self.node_state.is_bootstrapped:
            self._tell(source, ask, now, plan)

    def _command(self, key):
        node_state = self.node_state
        command = node_state.pending_commands.commands.get(key)
        if (
            command is None
            and node_state.own_ballot_state is not None
            and node_state.own_ballot_state.proposal == key
        ):
            return node_state.own_ballot_state.command
        return command

    def _tell(self, source, ask, now, plan):
        node_state = self.node_state
        if ask.blank or ask.slot < node_state.log_floor:
            piece = node_state.outgoing_snapshot.chunk(
                node_state.tables,
                -1 if ask.blank else ask.slot,
                node_state.log_floor,
                ask.snapshot,
                now,
            )
            plan.send(source, CatchupResponse(node_state.tables.slot, piece=piece))
            return
        last = min(ask.slot + DECISIONS_MOST, node_state.tables.slot)
        decisions = (node_state.log[slot] for slot in range(ask.slot, last))
        told = leading(decisions, DECISIONS_BYTES_MOST)
        plan.send(source, CatchupResponse(ask.slot + len(told), told))

    def _take(self, source, told, now, plan):
        node_state, before = self.node_state, self.node_state.tables.slot
        if told.snapshot:
            self._take_snapshot(told.snapshot, plan)
        if told.piece is not None:
            self._take_piece(source, told.piece, now, plan)
        for decision in told.decisions:
            if decision.slot == node_state.tables.slot and node_state.is_bootstrapped:
                node_state.commit(decision, plan)
        if node_state.tables.slot > before:
            self._go_on(source, now, plan)

    def _take_piece(self, source, piece, now, plan):
        node_state, received = self.node_state, self.node_state.incoming_snapshot.received
        if not self._newer(piece.slot):
            return
        text = node_state.incoming_snapshot.add(piece, now)
        if text is not None:
            self._take_snapshot(text, plan)
        elif node_state.incoming_snapshot.received > received:
            self._ask(source, now, plan)

    def _take_snapshot(self, text, plan):
        node_state = self.node_state
        try:
            tables = tables_from(text)
        except UnknownFormatError as problem:
            plan.log("catchup", "snapshot of an unknown format refused", problem=str(problem))
            return
        if not self._newer(tables.slot):
            return
        node_state.log, node_state.log_floor = {}, tables.slot
        node_state.install_tables(tables)
        node_state.begin_segment(plan)
        plan.log("catchup", "snapshot taken", slot=tables.slot)

    def _newer(self, slot: int) -> bool:
        """Whether a snapshot of this slot is newer than the tables held here."""
        return slot > self.node_state.tables.slot or not self.node_state.is_bootstrapped

    def _go_on(self, source, now, plan):
        """After an answer that brought progress: ask the same source for more, if any."""
        if self._furthest() > self.node_state.tables.slot:
            self._ask(source, now, plan)
        else:
            self.asked_at, self.behind_since = 0, None

    def _ask(self, source, now, plan):
        node_state = self.node_state
        self.asked_at = now
        plan.send(
            source,
            CatchupRequest(
                node_state.tables.slot,
                blank=not node_state.is_bootstrapped,
                snapshot=node_state.incoming_snapshot.request(),
            ),
        )

    def _furthest(self) -> int:
        indexes = self.node_state.synced_indexes
        return max(
            (indexes.get(identity, 0) for identity in self.node_state.voter_addresses), default=0
        )

    def _tick(self, now, plan):
        node_state = self.node_state
        node_state.outgoing_snapshot.release(now)
        if not node_state.is_bootstrapped:
            return
        self._say_synced_index(now, plan)
        if node_state.is_voter and self._furthest() <= node_state.tables.slot:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        waited = now - self.behind_since >= node_state.tuning.ask // 2
        due = now - self.asked_at >= node_state.tuning.ask
        sources = self._sources()
        if waited and due and sources and not node_state.incoming_snapshot.is_progressing(now):
            self._ask(sources[(now // node_state.tuning.ask) % len(sources)], now, plan)

    def _say_synced_index(self, now, plan):
        node_state = self.node_state
        if (
            now - self.synced_index_sent_at < node_state.tuning.synced_index
            or not node_state.is_voter
        ):
            return
        self.synced_index_sent_at = now
        message = SyncedIndex(node_state.member.identity, node_state.tables.slot)
        plan.sends += [(address, message) for address in node_state.other_addresses()]

    def _sources(self) -> list[str]:
        """Addresses of the other voters with the highest synced indexes, best first."""
        node_state = self.node_state
        ranked = sorted(
            node_state.voter_addresses.items(),
            key=lambda member: -node_state.synced_indexes.get(member[0], 0),
        )
        others = [address for identity, address in ranked if identity != node_state.member.identity]
        return others[:SOURCES_TRIED]
