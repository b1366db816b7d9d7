"""Failure detection: each daemon is pinged by a few watchers in different zones.

Rendezvous hashing assigns the watchers; the log decides who is lost.
"""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import ReportSuspicion
from willowpost.wire.messages import Ping, Pong

PING_EVERY = 400 * MILLI
SUSPECT_AFTER = 1_600 * MILLI
FROZE_AFTER = 600 * MILLI
WATCHERS = 3
REPORT_EVERY = 1 * SECOND
# reported anew as long as it holds: it must not be taken in long after it ceased to hold
REPORT_LIFETIME = 2 * SECOND


def watchers_of(target: str, daemons: dict) -> tuple[str, ...]:
    """Return the ids of the watchers of a daemon, at most WATCHERS.

    Each zone has at most one of them while there are enough zones, so that losing a zone leaves
    two.
    """
    others = [
        name
        for name, daemon in daemons.items()
        if name != target and daemon.state is not DaemonState.LOST
    ]
    ranked = Rendezvous().rank(f"watch/{target}", others)
    zones = {}
    for name in ranked:
        zones.setdefault(daemons[name].zone, name)
    spread = tuple(zones.values())[:WATCHERS]
    return spread + tuple(name for name in ranked if name not in spread)[: WATCHERS - len(spread)]


class FailureDetector:
    """Pings the daemons assigned to this one and reports suspicions to the log.

    After a freeze of its own it suspects nobody before they had a new chance to answer.
    """

    def __init__(self, descriptor, tables, command_client):
        self.descriptor = descriptor
        self.tables = tables  # () -> Tables
        self.command_client = command_client
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "ping")
        self.heard: dict[str, int] = {}  # id@incarnation -> last answer
        self.reported: dict[str, int] = {}
        self.pinged_at = 0
        self.ticked_at = None
        self.watched: tuple = ()
        self.watched_tables = None

    def step(self, event, now: int) -> Plan:
        """Answer a `Ping`, record a `Pong`; on a tick, ping each PING_EVERY and report changes."""
        plan = Plan()
        match event:
            case Received(source, Ping(nonce, _)):
                plan.send(source, Pong(nonce, self.descriptor.incarnation_id))
            case Received(_, Pong(nonce, incarnation_id)) if self.nonces.issued(nonce):
                self.heard[incarnation_id] = now
            case Tick():
                self._tick(now, plan)
        return plan

    def _tick(self, now, plan):
        if self.ticked_at is not None and now - self.ticked_at > FROZE_AFTER:
            self.heard = {incarnation_id: now for incarnation_id in self.heard}
        self.ticked_at = now
        if now - self.pinged_at < PING_EVERY:
            return
        self.pinged_at = now
        tables = self.tables()
        if tables.daemons is not self.watched_tables:
            self.watched_tables = tables.daemons
            self.watched = tuple(
                name
                for name in tables.daemons
                if name != self.descriptor.id
                and self.descriptor.id in watchers_of(name, tables.daemons)
            )
        nonce = self.nonces.next()
        watched = {name: tables.daemons[name] for name in self.watched if name in tables.daemons}
        plan.sends += [
            (daemon.address, Ping(nonce, self.descriptor.incarnation_id))
            for daemon in watched.values()
        ]
        incarnation_ids = {name: daemon.incarnation_id for name, daemon in watched.items()}
        self.heard = {
            incarnation_id: self.heard.get(incarnation_id, now)
            for incarnation_id in incarnation_ids.values()
        }
        silent = {
            name
            for name, incarnation_id in incarnation_ids.items()
            if now - self.heard[incarnation_id] > SUSPECT_AFTER
        }
        mine = {name for name, held in tables.suspicions.items() if self.descriptor.id in held}
        changed = [(name, True) for name in sorted(silent - mine)] + [
            (name, False) for name in sorted(mine - silent)
        ]
        ops = tuple(
            ReportSuspicion(
                target=name,
                incarnation=tables.daemons[name].incarnation,
                watcher=self.descriptor.id,
                is_suspected=suspected,
            )
            for name, suspected in changed
            if name in tables.daemons
            and now - self.reported.get(name, -REPORT_EVERY) >= REPORT_EVERY
        )
        if ops:
            self.reported.update({op.target: now for op in ops})
            plan.join(self.command_client.step(SubmitOperations(None, ops, REPORT_LIFETIME), now))
            for op in ops:
                plan.log(
                    "watch",
                    "daemon suspected" if op.is_suspected else "daemon no longer suspected",
                    daemon=op.target,
                )
