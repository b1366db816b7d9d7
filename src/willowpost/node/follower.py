"""Follows the log by polling one source, and answers daemons that poll this one.

Sources are the first proxies of the zone in rendezvous order, then the stores.
"""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SettingsChanged, Tick
from willowpost.common.formats import UnknownFormatError
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.consensus.log_size import leading, trailing
from willowpost.node.node_state import LEASE, TAIL_BYTES_KEPT, TAIL_KEPT, NodeState
from willowpost.state.apply import StateMachine
from willowpost.state.tables import tables_from
from willowpost.wire.messages import Hello, Ping, Poll, StateUpdate

POLL_EVERY = 150 * MILLI
SILENT_AFTER = 450 * MILLI
TOO_OLD = 700 * MILLI
RETRY_HOME = 2 * SECOND
HELLO_EVERY = 300 * MILLI
# without state updates for so long: all known daemons may be gone, the seeds may have changed
WITHOUT_SOURCE_AFTER = 3 * SECOND
HOMES_TRIED = 2
# In one StateUpdate. A poll is repeated every POLL_EVERY until an answer has come, so an answer
# must
# pass a link of 600 KB/s in less: else answers to repeated polls pile up on it, all late.
DECISIONS_BYTES_MOST = 64 * 1024


class Follower:
    """Keeps the tables up to date.

    `fresh_as_of` counts from when a poll was sent, so a slow answer or a freeze only makes the
    tables count as older. The tables never go back, whichever source is asked, also after the seeds
    were asked again.
    """

    def __init__(self, node_state: NodeState, seeds, tree: bool = True):
        self.node_state = node_state
        self.seeds = tuple(seeds)
        self.tree = tree
        self.state_machine = StateMachine()
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "poll")
        self.polls: dict[int, int] = {}
        self.polled_at = -POLL_EVERY
        self.heard_at = 0
        # how many sources were given up since the last return to the home
        self.source_index = 0
        self.source_changed_at = 0
        self.hello_at = -HELLO_EVERY

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        Takes state updates, answers polls and greetings, and on a tick polls the source each
        POLL_EVERY. Without tables or fresh updates it greets the seeds to learn of the stores.
        """
        plan = Plan()
        match event:
            case Received(source, StateUpdate() as state_update):
                self._take(source, state_update, now, plan)
            case Received(source, Poll() as poll):
                self._tell(source, poll, now, plan)
            case Received(source, Hello(answer=True, bootstrapped=True) as hello):
                if not self.node_state.tables.voters or self._without_source(now):
                    self.node_state.seed_store_addresses = tuple(
                        member.address for member in hello.known
                    )
            case Received(source, Ping()) if not self.node_state.tables.voters:
                # A watcher of this daemon has tables, even if the seeds are gone.
                plan.send(source, Hello(answer=False))
            case Received(source, Hello(answer=False)):
                plan.send(
                    source,
                    Hello(
                        bootstrapped=self.node_state.tables.epoch > 0,
                        answer=True,
                        known=self.node_state.tables.voters,
                    ),
                )
            case SettingsChanged(seeds=seeds):
                self.seeds = tuple(seeds)
            case Tick():
                self._tick(now, plan)
        return plan

    def sources(self) -> list[str]:
        """Return the addresses of all possible sources, the preferred one first."""
        node_state = self.node_state
        cores = node_state.store_addresses()
        if not self.tree:
            return cores
        zone = {
            name: proxy
            for name, proxy in node_state.live_daemons("proxy").items()
            if proxy.zone == node_state.descriptor.zone
        }
        ranked = Rendezvous().rank(f"state_update/{node_state.descriptor.zone}", zone)
        before = (
            ranked[: ranked.index(node_state.descriptor.id)]
            if node_state.descriptor.id in ranked
            else ranked
        )
        return [zone[name].address for name in before[:HOMES_TRIED]] + cores

    def _tick(self, now, plan):
        node_state = self.node_state
        if (
            not node_state.tables.voters or self._without_source(now)
        ) and now - self.hello_at >= HELLO_EVERY:
            self.hello_at = now
            plan.sends += [(seed, Hello(answer=False)) for seed in self.seeds]
        if now - self.polled_at < POLL_EVERY:
            return
        sources = self.sources()
        if not sources:
            return
        self._judge(now)
        self.polled_at = now
        node_state.outgoing_snapshot.release(now)
        self.poll(sources[self.source_index % len(sources)], now, plan)

    def _without_source(self, now):
        age = self.node_state.age(now)
        return age is None or age > WITHOUT_SOURCE_AFTER

    def poll(self, address, now, plan):
        """Poll one address, unless a snapshot transfer is making progress."""
        if not self.node_state.incoming_snapshot.is_progressing(now):
            self._poll_now(address, now, plan)

    def _poll_now(self, address, now, plan):
        node_state, nonce = self.node_state, self.nonces.next()
        self.polls = {nonce: sent for nonce, sent in self.polls.items() if now - sent < 2 * SECOND}
        self.polls[nonce] = now
        request = node_state.incoming_snapshot.request()
        plan.send(
            address,
            Poll(nonce, node_state.tables.slot, not node_state.tables.epoch, request),
        )

    def _judge(self, now):
        """Leave a source that is silent or old; return to the first one after RETRY_HOME."""
        age = self.node_state.age(now)
        bad = now - self.heard_at > SILENT_AFTER or (age is not None and age > TOO_OLD)
        if bad and now - self.source_changed_at > SILENT_AFTER:
            self.source_index, self.source_changed_at = self.source_index + 1, now
        elif self.source_index and not bad and now - self.source_changed_at > RETRY_HOME:
            self.source_index, self.source_changed_at = 0, now

    def _take(self, source, state_update, now, plan):
        node_state = self.node_state
        sent = self.polls.pop(state_update.nonce, None)
        if sent is None:
            return
        self.heard_at = now
        if state_update.fresh and state_update.age <= LEASE:
            node_state.quorum_contact_at = now
        went_on = self._take_snapshot(state_update, now, plan)
        self._take_decisions(state_update.decisions)
        reached = node_state.tables.epoch and node_state.tables.slot >= state_update.slot
        if state_update.fresh and reached:
            node_state.confirm_as_of(sent - state_update.age)
            node_state.seed_store_addresses = ()
        elif went_on:
            self._poll_now(source, now, plan)  # the next piece, or what was decided since
        elif state_update.decisions and node_state.tables.slot == state_update.slot:
            self.polled_at = now - POLL_EVERY  # more is waiting there

    def _take_snapshot(self, state_update, now, plan) -> bool:
        """Take a snapshot or a piece; whether the tables or a transfer made progress."""
        node_state, text = self.node_state, state_update.snapshot
        piece = state_update.piece
        if piece is not None and self._newer(piece.slot):
            text = node_state.incoming_snapshot.add(piece, now)
        if not text:
            incoming = node_state.incoming_snapshot
            return piece is not None and bool(incoming.chunks) and incoming.progress_at == now
        try:
            tables = tables_from(text)
        except UnknownFormatError as problem:
            plan.log("follower", "snapshot of an unknown format refused", problem=str(problem))
            return False
        if not self._newer(tables.slot):
            return False
        node_state.tables, node_state.recent_decisions = tables, ()
        return True

    def _take_decisions(self, decisions):
        node_state = self.node_state
        tables, taken = node_state.tables, []
        for decision in decisions:
            if decision.slot == tables.slot and tables.epoch:
                tables = self.state_machine.apply(tables, decision)
                taken.append(decision)
        if taken:
            tail = node_state.recent_decisions + tuple(taken)
            node_state.tables = tables
            node_state.recent_decisions = trailing(tail, TAIL_KEPT, TAIL_BYTES_KEPT)

    def _newer(self, slot: int) -> bool:
        """Whether a snapshot of this slot is newer than the tables held here."""
        return slot > self.node_state.tables.slot or not self.node_state.tables.epoch

    def _tell(self, source, poll, now, plan):
        node_state = self.node_state
        if not node_state.tables.epoch:
            return
        age = node_state.age(now)
        first = node_state.tables.slot - len(node_state.recent_decisions)
        piece, told = None, ()
        if poll.blank or poll.slot < first:
            asker_slot = -1 if poll.blank else poll.slot
            piece = node_state.outgoing_snapshot.chunk(
                node_state.tables, asker_slot, first, poll.snapshot, now
            )
        elif poll.slot < node_state.tables.slot:
            told = leading(node_state.recent_decisions[poll.slot - first :], DECISIONS_BYTES_MOST)
        last = poll.slot + len(told) if told else node_state.tables.slot
        whole = age is not None and last >= node_state.tables.slot >= poll.slot
        plan.send(source, StateUpdate(poll.nonce, last, age or 0, whole, tuple(told), piece=piece))
