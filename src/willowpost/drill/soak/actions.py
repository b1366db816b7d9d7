"""Carries out the troubles of a soak on its fleet."""

import random
from collections.abc import Callable, Iterable

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.rules import Findings
from willowpost.drill.soak.callers import SoakCallers
from willowpost.drill.soak.fleet import GRACE_SECONDS, HOST, SoakFleet
from willowpost.drill.soak.judge import OriginShutdown, Record
from willowpost.drill.soak.last_requests import LastRequests
from willowpost.drill.soak.schedule import Kind
from willowpost.stand_ins.http_call import OK

LEAVER_SERVES_SECONDS = 3.5
MODES = {Kind.ORIGINS_SLOW: "slow", Kind.ORIGINS_LOSE_ANSWERS: "lost"}


class TroubleActions:
    """What each kind of trouble does.

    Args:
        fleet: The fleet.
        clock: The machine's clock.
        record: What happened; grows.
        findings: Gets a row for a process that does not end within its grace.
        change: Proposes another configuration.
        callers: Who send the last requests to an edge that is to end.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        clock: Clock,
        record: Record,
        findings: Findings,
        change: Callable[[], object],
        callers: SoakCallers,
    ) -> None:
        self.fleet, self.clock, self.record = fleet, clock, record
        self.findings, self.change, self.callers = findings, change, callers
        self.chance = random.Random("last requests")

    def act(self, kind: Kind, targets: list[str], span: float) -> None:
        """Carry out a trouble of this kind, which lasts `span` seconds; returns at its end."""
        match kind:
            case Kind.KILL | Kind.HERD_KILL:
                self._hold(targets, self.fleet.kill, span, self.fleet.start)
            case Kind.FREEZE | Kind.FREEZE_SOURCES:
                self._hold(targets, self.fleet.freeze, span, self.fleet.thaw)
            case Kind.RESTART:
                for key in targets:
                    self._restart(key)
            case Kind.RELOAD:
                for key in targets:
                    self.fleet.reload(key)
            case Kind.CUT | Kind.CUT_CORE:
                self._cut(targets, span, kind is Kind.CUT_CORE)
            case Kind.ORIGINS_SLOW | Kind.ORIGINS_LOSE_ANSWERS:
                self._steer(targets, "mode", mode=MODES[kind])
                gevent.sleep(span)
                self._steer(targets, "mode", mode="sound")
            case Kind.ORIGINS_CRASH:
                self._crash_origins(targets, span)
            case Kind.ORIGIN_LEAVES:
                self._leave(targets[0])
            case Kind.CHANGE:
                self.change()
            case Kind.PURGE:
                item = {"items": [{"kind": "prefix", "host": HOST, "path": "/kept/"}]}
                self.fleet.call("POST", "/v1/purges", item)

    def _hold(
        self,
        keys: list[str],
        begin: Callable[[str], None],
        span: float,
        end: Callable[[str], None],
    ) -> None:
        """Begin something for each process, and end it after `span` seconds."""
        for key in keys:
            begin(key)
        gevent.sleep(span)
        for key in keys:
            end(key)

    def _restart(self, key: str) -> None:
        address = self.fleet.proxies().get(key)
        if address in self.callers.edges:
            last_requests = LastRequests(self.callers, address, self.chance)
            last_requests.open()
            last_requests.start()
        if address is not None:
            self.record.terminated.setdefault(address, []).append(self.clock.now())
        if self.fleet.stop(key, GRACE_SECONDS) is None:
            self.findings.add("a process ends within its grace", key, False)
        self.fleet.start(key)

    def _cut(self, keys: list[str], span: float, is_core_only: bool) -> None:
        pairs = {pair for key in keys for pair in self._pairs_to_cut(key, is_core_only)}
        self.fleet.cuts |= pairs
        self.fleet.write_cuts()
        gevent.sleep(span)
        self.fleet.cuts -= pairs
        self.fleet.write_cuts()

    def _pairs_to_cut(self, key: str, is_core_only: bool) -> Iterable[frozenset[str]]:
        """Yields the pairs of addresses between a process's machine and all others, or the core."""
        processes = self.fleet.processes
        own = [one for one in processes if one.startswith(f"{processes[key].machine}/")]
        for other in processes:
            if other in own or (is_core_only and other.endswith("/wpproxy")):
                continue
            for one in own:
                yield frozenset((self.fleet.address(one), self.fleet.address(other)))

    def _crash_origins(self, addresses: list[str], span: float) -> None:
        """Crash origins and start them anew; then their last heartbeats come late."""
        self._steer(addresses, "crash")
        gevent.sleep(span)
        self._steer(addresses, "start")
        gevent.sleep(span)
        self._steer(addresses, "late_heartbeat")

    def _leave(self, address: str) -> None:
        reply = self.fleet.steer("drain", address)
        acknowledged_at = self.clock.now()
        gevent.sleep(LEAVER_SERVES_SECONDS)
        ended_at = self.clock.now()
        self._steer([address], "crash")
        self._steer([address], "start")
        if reply is not None and reply[0] == OK and reply[2]:
            self.record.leaves.append(OriginShutdown(address, acknowledged_at, ended_at))

    def _steer(self, addresses: list[str], do: str, **more: object) -> None:
        for address in addresses:
            self.fleet.steer(do, address, **more)
