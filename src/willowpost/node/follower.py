"""Follows the log by polling one source, and answers daemons that poll this one.

Sources are the first proxies of the zone in rendezvous order, then the stores.
"""

from collections.abc import Iterable
from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SettingsChanged, Tick
from willowpost.common.formats import UnknownFormatError
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.consensus.log_size import longest_suffix
from willowpost.node.node_state import (
    LEASE_US,
    MAX_RECENT_DECISIONS,
    MAX_RECENT_DECISIONS_BYTES,
    NodeState,
)
from willowpost.node.poll_responses import state_update_for
from willowpost.node.source_selection import SourceSelector
from willowpost.state.apply import StateMachine
from willowpost.state.tables import tables_from
from willowpost.wire.messages import Decision, Hello, Ping, Poll, StateUpdate

POLL_INTERVAL_US = 150 * MILLISECOND
POLL_TIMEOUT_US = 2 * SECOND
HELLO_INTERVAL_US = 300 * MILLISECOND
# Without state updates for so long, all known daemons may be gone and the seeds have changed.
SOURCES_LOST_AFTER_US = 3 * SECOND


class Follower:
    """Keeps the tables up to date.

    `fresh_as_of` counts from when a poll was sent, so a slow answer or a freeze only makes the
    tables count as older. The tables never go back, whichever source is polled, also after the
    seeds were greeted again.

    Args:
        node_state: shared with the other controllers of this daemon.
        seeds: addresses to greet while no store is known.
        may_poll_proxies: whether proxies of the own zone are sources, or stores alone.
    """

    def __init__(
        self, node_state: NodeState, seeds: Iterable[str], may_poll_proxies: bool = True
    ) -> None:
        self.node_state = node_state
        self.seeds = tuple(seeds)
        self.source_selector = SourceSelector(node_state, may_poll_proxies)
        self.state_machine = StateMachine()
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "poll")
        self.polls: dict[int, int] = {}  # nonce -> when it was sent, µs
        self.last_poll_at = -POLL_INTERVAL_US
        self.last_hello_at = -HELLO_INTERVAL_US

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event.

        Applies state updates, answers polls and greetings, and on a tick polls the source each
        POLL_INTERVAL_US. Without tables or fresh updates it greets the seeds to learn of the
        stores.
        """
        plan = Plan()
        match event:
            case Received(source, StateUpdate() as state_update):
                self._handle_state_update(source, state_update, now, plan)
            case Received(source, Poll() as poll):
                response = state_update_for(poll, self.node_state, now)
                if response is not None:
                    plan.send(source, response)
            case Received(source, Hello() as hello):
                self._handle_hello(source, hello, now, plan)
            case Received(source, Ping()) if not self.node_state.tables.voters:
                # A watcher of this daemon has tables, even if the seeds are gone.
                plan.send(source, Hello(is_reply=False))
            case SettingsChanged(seeds=seeds):
                self.seeds = tuple(seeds)
            case Tick():
                self.node_state.record_tick(now)
                self._tick(now, plan)
        return plan

    def poll(self, address: str, now: int, plan: Plan) -> None:
        """Poll one address, unless a snapshot transfer is making progress."""
        if not self.node_state.incoming_snapshot.is_progressing(now):
            self._send_poll(address, now, plan)

    def _tick(self, now: int, plan: Plan) -> None:
        if self._needs_seeds(now) and now - self.last_hello_at >= HELLO_INTERVAL_US:
            self.last_hello_at = now
            plan.sends += [(seed, Hello(is_reply=False)) for seed in self.seeds]
        if now - self.last_poll_at < POLL_INTERVAL_US:
            return
        source = self.source_selector.select(now)
        if source is None:
            return
        self.last_poll_at = now
        self.node_state.outgoing_snapshot.release(now)
        self.poll(source, now, plan)

    def _needs_seeds(self, now: int) -> bool:
        """Whether no voters are known, or no state update came for SOURCES_LOST_AFTER_US."""
        age = self.node_state.tables_age(now)
        is_source_lost = age is None or age > SOURCES_LOST_AFTER_US
        return not self.node_state.tables.voters or is_source_lost

    def _handle_hello(self, source: str, hello: Hello, now: int, plan: Plan) -> None:
        tables = self.node_state.tables
        if not hello.is_reply:
            answer = Hello(
                is_bootstrapped=tables.epoch > 0, is_reply=True, known_members=tables.voters
            )
            plan.send(source, answer)
        elif hello.is_bootstrapped and self._needs_seeds(now):
            self.node_state.seed_store_addresses = tuple(
                member.address for member in hello.known_members
            )

    def _send_poll(self, address: str, now: int, plan: Plan) -> None:
        node_state, nonce = self.node_state, self.nonces.next()
        self.polls = {
            earlier: sent_at
            for earlier, sent_at in self.polls.items()
            if now - sent_at < POLL_TIMEOUT_US
        }
        self.polls[nonce] = now
        transfer = node_state.incoming_snapshot.request()
        is_blank = not node_state.tables.epoch
        plan.send(address, Poll(nonce, node_state.tables.slot, is_blank, transfer))

    def _handle_state_update(
        self, source: str, state_update: StateUpdate, now: int, plan: Plan
    ) -> None:
        node_state = self.node_state
        sent_at = self.polls.pop(state_update.nonce, None)
        if sent_at is None:
            return
        self.source_selector.record_update(now)
        if state_update.is_fresh and state_update.age_us <= LEASE_US:
            node_state.quorum_contact_at = node_state.running_us
        has_progressed = self._receive_snapshot(state_update, now, plan)
        self._apply_decisions(state_update.decisions)
        has_reached = node_state.tables.epoch and node_state.tables.slot >= state_update.slot
        if state_update.is_fresh and has_reached:
            node_state.confirm_fresh(sent_at - state_update.age_us)
            node_state.seed_store_addresses = ()
        elif has_progressed:
            self._send_poll(source, now, plan)  # the next chunk, or what was decided since
        elif state_update.decisions and node_state.tables.slot == state_update.slot:
            self.last_poll_at = now - POLL_INTERVAL_US  # the source has more decisions

    def _receive_snapshot(self, state_update: StateUpdate, now: int, plan: Plan) -> bool:
        """Receive a snapshot or a chunk; whether the tables or a transfer made progress."""
        incoming, text = self.node_state.incoming_snapshot, state_update.snapshot
        chunk = state_update.chunk
        if chunk is not None and self._is_newer(chunk.slot):
            text = incoming.add(chunk, now) or ""
        if not text:
            return chunk is not None and bool(incoming.chunks) and incoming.progress_at == now
        return self._install_snapshot(text, plan)

    def _install_snapshot(self, text: str, plan: Plan) -> bool:
        """Replace the tables by those of a snapshot, if it is newer; returns whether it was."""
        try:
            tables = tables_from(text)
        except UnknownFormatError as error:
            plan.log("follower", "snapshot of an unknown format rejected", problem=str(error))
            return False
        if not self._is_newer(tables.slot):
            return False
        self.node_state.tables, self.node_state.recent_decisions = tables, ()
        return True

    def _apply_decisions(self, decisions: tuple[Decision, ...]) -> None:
        node_state = self.node_state
        tables = node_state.tables
        applied: list[Decision] = []
        for decision in decisions:
            if decision.slot == tables.slot and tables.epoch:
                tables = self.state_machine.apply(tables, decision)
                applied.append(decision)
        if applied:
            recent = node_state.recent_decisions + tuple(applied)
            node_state.tables = tables
            node_state.recent_decisions = longest_suffix(
                recent, MAX_RECENT_DECISIONS, MAX_RECENT_DECISIONS_BYTES
            )

    def _is_newer(self, slot: int) -> bool:
        """Whether a snapshot of this slot is newer than the tables of this daemon."""
        return slot > self.node_state.tables.slot or not self.node_state.tables.epoch
