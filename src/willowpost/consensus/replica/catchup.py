"""Brings replicas and learners that are behind up to date.

A replica that is behind pulls. It has one request open at a time, requests more at once when a
response brought it further, and turns to another source when none came. A source responds with as
many decisions as fit into one frame, or with a chunk of a snapshot if it has compacted the slots
that are requested.
"""

from typing import Any

from willowpost.common.events import Received, Tick
from willowpost.common.formats import UnknownFormatError
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import longest_prefix
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.snapshot_transfer import NO_SLOT
from willowpost.state.tables import tables_from
from willowpost.wire.messages import (
    BallotState,
    CatchupRequest,
    CatchupResponse,
    Command,
    SnapshotChunk,
    SyncedIndex,
)

MAX_RESPONSE_DECISIONS = 64  # in one CatchupResponse
MAX_RESPONSE_BYTES = 512 * 1024
MAX_SOURCES = 3  # those that are furthest ahead, in turn; so one dead source does not stop it


class Catchup:
    """Requests and serves decisions and snapshots.

    A decision is applied only if its slot is `tables.slot`; a snapshot only if it is newer than the
    tables, or there are none yet. Nothing that was decided is ever undone.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.requested_at = 0  # µs, own clock, as all below
        self.behind_since: int | None = None
        self.synced_index_sent_at = 0

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event.

        Answers a `CatchupRequest`, and a resent ballot state of a slot that is decided here;
        applies a `CatchupResponse`; records a `SyncedIndex`. On a tick it reports the own synced
        index and requests what is missing.
        """
        plan = Plan()
        match event:
            case Received(source, BallotState(is_resend=True, slot=slot)) if (
                self.node_state.log_floor <= slot < self.node_state.tables.slot
            ):
                # A sender that needs a snapshot instead requests its chunks itself.
                self._send_decisions(source, slot, plan)
            case Received(source, CatchupRequest() as request):
                self._answer(source, request, now, plan)
            case Received(source, CatchupResponse() as response):
                self._apply_response(source, response, now, plan)
            case Received(_, SyncedIndex(identity, slot)):
                self.node_state.record_synced_index(identity, slot)
            case Tick():
                self._tick(now, plan)
        return plan

    # As a source

    def _answer(self, source: str, request: CatchupRequest, now: int, plan: Plan) -> None:
        node_state = self.node_state
        if request.key and request.slot >= node_state.tables.slot:
            command = self._known_command(request.key)
            if command is not None:
                plan.send(source, CatchupResponse(request.slot, command=command))
        elif not node_state.is_bootstrapped:
            return
        elif request.has_no_tables or request.slot < node_state.log_floor:
            self._send_snapshot_chunk(source, request, now, plan)
        else:
            self._send_decisions(source, request.slot, plan)

    def _known_command(self, key: str) -> Command | None:
        node_state = self.node_state
        command = node_state.pending_commands.get(key)
        own = node_state.own_ballot_state
        if command is None and own is not None and own.proposal == key:
            return own.command
        return command

    def _send_decisions(self, source: str, slot: int, plan: Plan) -> None:
        node_state = self.node_state
        end = min(slot + MAX_RESPONSE_DECISIONS, node_state.tables.slot)
        candidates = (node_state.log[decided] for decided in range(slot, end))
        decisions = longest_prefix(candidates, MAX_RESPONSE_BYTES)
        plan.send(source, CatchupResponse(slot + len(decisions), decisions))

    def _send_snapshot_chunk(
        self, source: str, request: CatchupRequest, now: int, plan: Plan
    ) -> None:
        node_state = self.node_state
        chunk = node_state.outgoing_snapshot.chunk(
            node_state.tables,
            NO_SLOT if request.has_no_tables else request.slot,
            node_state.log_floor,
            request.snapshot,
            now,
        )
        plan.send(source, CatchupResponse(node_state.tables.slot, chunk=chunk))

    # As a replica that is behind

    def _apply_response(self, source: str, response: CatchupResponse, now: int, plan: Plan) -> None:
        node_state = self.node_state
        slot_before = node_state.tables.slot
        if response.snapshot:
            self._install_snapshot(source, response.snapshot, plan)
        if response.chunk is not None:
            self._add_snapshot_chunk(source, response.chunk, now, plan)
        for decision in response.decisions:
            if decision.slot == node_state.tables.slot and node_state.is_bootstrapped:
                node_state.commit(decision, plan)
        if node_state.tables.slot > slot_before:
            self._request_more(source, now, plan)

    def _add_snapshot_chunk(self, source: str, chunk: SnapshotChunk, now: int, plan: Plan) -> None:
        incoming = self.node_state.incoming_snapshot
        received_before = incoming.received
        if not self._is_newer(chunk.slot):
            return
        text = incoming.add(chunk, now)
        if text is not None:
            self._install_snapshot(source, text, plan)
        elif incoming.received > received_before:
            self._request(source, now, plan)

    def _install_snapshot(self, source: str, text: str, plan: Plan) -> None:
        node_state = self.node_state
        try:
            tables = tables_from(text)
        except UnknownFormatError as error:
            plan.log(
                "catchup", "snapshot of an unknown format rejected", peer=source, problem=str(error)
            )
            return
        if not self._is_newer(tables.slot):
            return
        node_state.log, node_state.log_floor = {}, tables.slot
        node_state.install_tables(tables)
        node_state.begin_segment(plan)
        plan.log("catchup", "snapshot installed", peer=source, slot=tables.slot)

    def _is_newer(self, slot: int) -> bool:
        """Whether a snapshot of this slot is newer than the tables here."""
        return slot > self.node_state.tables.slot or not self.node_state.is_bootstrapped

    def _request_more(self, source: str, now: int, plan: Plan) -> None:
        """After a response that brought progress: request more from the same source, if any."""
        if self.node_state.highest_synced_index() > self.node_state.tables.slot:
            self._request(source, now, plan)
        else:
            self.requested_at, self.behind_since = 0, None

    def _request(self, source: str, now: int, plan: Plan) -> None:
        node_state = self.node_state
        self.requested_at = now
        request = CatchupRequest(
            node_state.tables.slot,
            has_no_tables=not node_state.is_bootstrapped,
            snapshot=node_state.incoming_snapshot.request(),
        )
        plan.send(source, request)

    def _tick(self, now: int, plan: Plan) -> None:
        node_state = self.node_state
        node_state.outgoing_snapshot.release(now)
        if not node_state.is_bootstrapped:
            return
        self._report_synced_index(now, plan)
        if node_state.is_voter and node_state.highest_synced_index() <= node_state.tables.slot:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if self._is_request_due(now, self.behind_since):
            self._request_from_next_source(now, plan)

    def _is_request_due(self, now: int, behind_since: int) -> bool:
        """Whether it has been behind for a while, and no request or transfer is in progress."""
        interval = self.node_state.tuning.catchup_interval_us
        has_waited = now - behind_since >= interval // 2
        is_due = now - self.requested_at >= interval
        is_receiving = self.node_state.incoming_snapshot.is_progressing(now)
        return has_waited and is_due and not is_receiving

    def _request_from_next_source(self, now: int, plan: Plan) -> None:
        sources = self._sources()
        if sources:
            interval_count = now // self.node_state.tuning.catchup_interval_us
            self._request(sources[interval_count % len(sources)], now, plan)

    def _sources(self) -> list[str]:
        """Return addresses of the other voters with the highest synced indexes, best first."""
        node_state = self.node_state
        ranked = sorted(
            node_state.voter_addresses.items(),
            key=lambda voter: -node_state.synced_indexes.get(voter[0], 0),
        )
        others = [address for identity, address in ranked if identity != node_state.member.identity]
        return others[:MAX_SOURCES]

    def _report_synced_index(self, now: int, plan: Plan) -> None:
        node_state = self.node_state
        is_due = now - self.synced_index_sent_at >= node_state.tuning.synced_index_interval_us
        if not is_due or not node_state.is_voter:
            return
        self.synced_index_sent_at = now
        message = SyncedIndex(node_state.member.identity, node_state.tables.slot)
        plan.sends += [(address, message) for address in node_state.other_addresses()]
