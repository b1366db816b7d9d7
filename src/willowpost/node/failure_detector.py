"""Failure detection: each daemon is pinged by a few watchers in different zones.

Rendezvous hashing assigns the watchers; the log decides who is lost.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.state.entries import DaemonDescriptor, DaemonEntry
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import ReportSuspicion
from willowpost.state.tables import Tables
from willowpost.wire.messages import Ping, Pong

PING_INTERVAL_US = 400 * MILLISECOND
SUSPECT_AFTER_US = 1_600 * MILLISECOND
# A longer pause between two ticks means that this process itself was frozen.
MAX_TICK_GAP_US = 600 * MILLISECOND
WATCHERS = 3
REPORT_INTERVAL_US = 1 * SECOND
# A report is repeated as long as it is true, and must not be applied long after it ceased to be.
REPORT_LIFETIME_US = 2 * SECOND


def watchers_of(target: str, daemons: Mapping[str, DaemonEntry]) -> tuple[str, ...]:
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
    first_by_zone: dict[str, str] = {}
    for name in ranked:
        first_by_zone.setdefault(daemons[name].zone, name)
    spread = tuple(first_by_zone.values())[:WATCHERS]
    return spread + tuple(name for name in ranked if name not in spread)[: WATCHERS - len(spread)]


class FailureDetector:
    """Pings the daemons assigned to this one and reports suspicions to the log.

    After a freeze of its own it suspects nobody before they had a new chance to answer.

    The times of pongs and of reports are kept apart because their keys differ: a pong counts for
    one incarnation of a daemon, and may come before the tables name that incarnation, while the
    pause between two reports is one of the daemon through all its incarnations.

    Args:
        descriptor: of this daemon.
        tables: returns the tables.
        command_client: submits the reports.
    """

    def __init__(
        self,
        descriptor: DaemonDescriptor,
        tables: Callable[[], Tables],
        command_client: CommandClient,
    ) -> None:
        self.descriptor = descriptor
        self.tables = tables
        self.command_client = command_client
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "ping")
        self.last_pong_at: dict[str, int] = {}  # by incarnation id
        self.last_report_at: dict[str, int] = {}  # by daemon id
        self.last_ping_at = 0
        self.last_tick_at: int | None = None
        self.watched: tuple[str, ...] = ()  # ids of the daemons assigned to this one
        self.watched_tables: Mapping[str, DaemonEntry] | None = None  # that `watched` follows from

    def step(self, event: Any, now: int) -> Plan:
        """Answer a `Ping`, record a `Pong`; on a tick, ping and report what has changed.

        Pings leave at most every PING_INTERVAL_US.
        """
        plan = Plan()
        match event:
            case Received(source, Ping(nonce, _)):
                plan.send(source, Pong(nonce, self.descriptor.incarnation_id))
            case Received(_, Pong(nonce, incarnation_id)) if self.nonces.has_issued(nonce):
                self.last_pong_at[incarnation_id] = now
            case Tick():
                self._tick(now, plan)
        return plan

    def _tick(self, now: int, plan: Plan) -> None:
        self._forgive_after_freeze(now)
        if now - self.last_ping_at < PING_INTERVAL_US:
            return
        self.last_ping_at = now
        tables = self.tables()
        self._assign_watched(tables.daemons)
        watched = {name: tables.daemons[name] for name in self.watched if name in tables.daemons}
        self._ping(watched, plan)
        self._forget_unwatched(watched, now)
        reports = tuple(self._reports(tables, self._timed_out(watched, now), now))
        if reports:
            self._submit(reports, now, plan)

    def _forgive_after_freeze(self, now: int) -> None:
        """Count everybody as seen now if this process has not run for MAX_TICK_GAP_US."""
        if self.last_tick_at is not None and now - self.last_tick_at > MAX_TICK_GAP_US:
            self.last_pong_at = {incarnation_id: now for incarnation_id in self.last_pong_at}
        self.last_tick_at = now

    def _assign_watched(self, daemons: Mapping[str, DaemonEntry]) -> None:
        """Work out anew whom this daemon watches, if the daemons have changed."""
        if daemons is self.watched_tables:
            return
        self.watched_tables = daemons
        self.watched = tuple(
            name
            for name in daemons
            if name != self.descriptor.id and self.descriptor.id in watchers_of(name, daemons)
        )

    def _ping(self, watched: Mapping[str, DaemonEntry], plan: Plan) -> None:
        ping = Ping(self.nonces.next(), self.descriptor.incarnation_id)
        for daemon in watched.values():
            plan.send(daemon.address, ping)

    def _forget_unwatched(self, watched: Mapping[str, DaemonEntry], now: int) -> None:
        """Keep the pongs of watched incarnations only; the time of a new one counts from now."""
        self.last_pong_at = {
            daemon.incarnation_id: self.last_pong_at.get(daemon.incarnation_id, now)
            for daemon in watched.values()
        }

    def _timed_out(self, watched: Mapping[str, DaemonEntry], now: int) -> frozenset[str]:
        """Return the ids of the watched daemons without a pong for SUSPECT_AFTER_US."""
        return frozenset(
            name
            for name, daemon in watched.items()
            if now - self.last_pong_at[daemon.incarnation_id] > SUSPECT_AFTER_US
        )

    def _reports(
        self, tables: Tables, timed_out: frozenset[str], now: int
    ) -> Iterator[ReportSuspicion]:
        """Yield what the log is to know: new suspicions first, then those that have ended."""
        reported = {
            name for name, watchers in tables.suspicions.items() if self.descriptor.id in watchers
        }
        changes = [(name, True) for name in sorted(timed_out - reported)]
        changes += [(name, False) for name in sorted(reported - timed_out)]
        for name, is_suspected in changes:
            if name in tables.daemons and self._may_report(name, now):
                yield ReportSuspicion(
                    target=name,
                    incarnation=tables.daemons[name].incarnation,
                    watcher=self.descriptor.id,
                    is_suspected=is_suspected,
                )

    def _may_report(self, name: str, now: int) -> bool:
        last_report_at = self.last_report_at.get(name, -REPORT_INTERVAL_US)
        return now - last_report_at >= REPORT_INTERVAL_US

    def _submit(self, reports: tuple[ReportSuspicion, ...], now: int, plan: Plan) -> None:
        self.last_report_at.update({report.target: now for report in reports})
        for report in reports:
            submission = SubmitOperations(None, (report,), REPORT_LIFETIME_US)
            plan.join(self.command_client.step(submission, now))
            plan.log(
                "failure_detector",
                "daemon suspected" if report.is_suspected else "daemon no longer suspected",
                daemon=report.target,
                incarnation=report.incarnation,
            )
