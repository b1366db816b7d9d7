"""Runs one soak: starts the fleet, carries out the troubles of a seed, and heals it."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent

from willowpost.common.clock import SECOND, Clock
from willowpost.common.rendezvous import Rendezvous
from willowpost.drill.deployment import Deployment
from willowpost.drill.fleet import free_port
from willowpost.drill.rules import Findings
from willowpost.drill.soak.actions import TroubleActions
from willowpost.drill.soak.callers import SoakCallers
from willowpost.drill.soak.configuration_reads import ConfigurationReader
from willowpost.drill.soak.configurations import ConfigurationChanger, newest_version
from willowpost.drill.soak.fleet import HOST, SoakFleet
from willowpost.drill.soak.fleet_health import FleetHealth
from willowpost.drill.soak.judge import OutOfTouch, Record
from willowpost.drill.soak.memory_watch import MemoryWatch
from willowpost.drill.soak.probes import RouteProbes
from willowpost.drill.soak.schedule import Kind, Parts, Trouble, drawn
from willowpost.drill.soak.uploads import Uploads
from willowpost.drill.soak.verdict import CONTACT, Observations, Verdict
from willowpost.node.source_selection import MAX_PROXY_SOURCES

START_SECONDS = 60.0
HEAL_SECONDS = 40.0
LONG_SERVE_ON_MS, LEASE_MS = 60_000, 1500
WARM_SECONDS = 3.0
SUPERVISE_SECONDS = 0.3
CALLERS_EACH_EDGE = 6
KILLING = (Kind.KILL, Kind.HERD_KILL)
FREEZING = (Kind.FREEZE, Kind.FREEZE_SOURCES)
ISOLATING = (Kind.CUT, Kind.CUT_CORE, *FREEZING)


class Soak:
    """One fleet and one seed.

    Args:
        layout: The fleet's machines and origins (`soak/fleet.py`).
        folder: For settings, data and logs.
        seed: Of the troubles and callers; an odd one serves on for long without state updates.
        seconds: How long troubles begin.
        say: Told what happens.
        sync_ms: How much longer each sync of a store's disk takes.
    """

    def __init__(
        self,
        layout: dict[str, Any],
        folder: Path,
        seed: int,
        seconds: float,
        say: Callable[[str], None],
        sync_ms: float = 0.0,
    ) -> None:
        self.seed, self.seconds, self.say = seed, seconds, say
        self.serve_on_ms = LONG_SERVE_ON_MS if seed % 2 else LEASE_MS
        deployment = Deployment(layout, folder, free_port())
        self.fleet = SoakFleet(deployment, self.serve_on_ms, sync_ms)
        self.clock = Clock()
        self.record = Record()
        self.findings = Findings()
        self.changer = ConfigurationChanger(self.fleet, self.clock)
        self.health = FleetHealth(self.fleet, lambda: newest_version(self.changer.changes))
        self.busy: set[str] = set()  # targets that a trouble holds now
        self.ended: list[str] = []  # processes that ended by themselves, with their exit codes
        edges = self.fleet.edges()
        self.callers = SoakCallers(self.clock, edges, HOST, CALLERS_EACH_EDGE * len(edges), seed)
        self.uploads = Uploads(self.clock, edges, self.callers.tally, seed)
        self.memory = MemoryWatch(self.fleet)
        self.actions = TroubleActions(
            self.fleet, self.clock, self.record, self.findings, self.changer.change, self.callers
        )
        self.probes = RouteProbes(self.clock, edges, self.changer.changes, seed)
        self.reader = ConfigurationReader(self.clock, self.fleet.registries())

    def run(self) -> Findings:
        """Runs it and returns what was seen.

        Raises:
            RuntimeError: The fleet did not come up.
        """
        try:
            self._open()
            supervisor = gevent.spawn(self._supervise)
            watch = gevent.spawn(self.memory.run)
            self.callers.start()
            self.uploads.start()
            self.probes.start()
            self.reader.start()
            changer = gevent.spawn(self.changer.change_steadily)
            self._trouble()
            changer.kill()
            self._heal()
            self.callers.stop()
            self.uploads.stop()
            watch.kill()
            self.probes.stop()
            self.reader.stop()
            self._judge()
            supervisor.kill()
            return self.findings
        finally:
            self.fleet.stop_all()

    def _open(self) -> None:
        self.fleet.start_all()
        self.fleet.start_origins()
        if self.fleet.ready(START_SECONDS) is None:
            raise RuntimeError("the fleet did not come up")
        if self.fleet.until(self.changer.change, START_SECONDS, 0.2) is None:
            raise RuntimeError("the configuration was not accepted")
        self.fleet.until(self._are_origins_known, START_SECONDS, 0.2)
        gevent.sleep(WARM_SECONDS)

    def _are_origins_known(self) -> bool:
        reply = self.fleet.call("GET", "/v1/status")
        if reply is None:
            return False
        return len(reply[2].get("origins", {})) == len(self.fleet.deployment.origins)

    def _trouble(self) -> None:
        begun, tasks = self.clock.now(), []
        for trouble in drawn(self.seed, self._parts(), self.seconds):
            wait = trouble.at - (self.clock.now() - begun) / SECOND
            gevent.sleep(max(0.0, wait))
            tasks.append(gevent.spawn(self._carry_out, trouble))
        gevent.joinall(tasks)

    def _parts(self) -> Parts:
        """Returns what troubles can hit."""
        keys, deployment = tuple(self.fleet.processes), self.fleet.deployment
        cores: list[Any] = deployment.cores()
        return Parts(
            tuple(key for key in keys if not key.endswith("/wpproxy")),
            tuple(key for key in keys if key.endswith("/wpproxy")),
            tuple(origin["address"] for origin in deployment.origins),
            core_tolerance=(len(cores) - 1) // 2,
            sources=tuple(self._sources()),
        )

    def _sources(self) -> Iterator[str]:
        """Yields the keys of the edges that others of their zone poll for state updates."""
        zones: dict[str, list[str]] = {}
        for process in self.fleet.processes.values():
            if process.program == "wpproxy":
                zones.setdefault(process.zone, []).append(process.machine)
        cores = {machine["name"] for machine in self.fleet.deployment.cores()}
        for zone, machines in zones.items():
            ids = [f"{machine}/proxy" for machine in machines]
            for daemon_id in Rendezvous().rank(f"state_update/{zone}", ids)[:MAX_PROXY_SOURCES]:
                machine = daemon_id.removesuffix("/proxy")
                if machine not in cores:
                    yield f"{machine}/wpproxy"

    def _supervise(self) -> None:
        """Starts processes again that have ended by themselves, as the platform does."""
        while True:
            for key, running in list(self.fleet.running.items()):
                code = running.poll()
                if code is not None and key in self.fleet.processes and key not in self.busy:
                    self.ended.append(f"{key}: {code}")
                    self.fleet.start(key)
            gevent.sleep(SUPERVISE_SECONDS)

    def _carry_out(self, trouble: Trouble) -> None:
        """Carries a trouble out on the targets that no other one holds."""
        targets = [target for target in trouble.targets if target not in self.busy]
        if trouble.targets and not targets:
            return
        self.say(f"{trouble.at:6.2f} s  {trouble.kind.value} {' '.join(targets)}")
        self.busy.update(targets)
        began = self.clock.now()
        try:
            self.actions.act(trouble.kind, targets, trouble.span)
        finally:
            self.busy.difference_update(targets)
            self._note(trouble.kind, targets, began)

    def _note(self, kind: Kind, targets: list[str], began: int) -> None:
        """Records a trouble that has ended, for the judge."""
        now = self.clock.now()
        proxies = self.fleet.proxies()
        for target in targets:
            if kind in (*KILLING, Kind.RESTART) and target in proxies:
                self.record.started.setdefault(proxies[target], []).extend((began, now))
            if kind in (*KILLING, *FREEZING) and target in proxies:
                self.record.killed.setdefault(proxies[target], []).append((began, now))
        for target in targets:
            if self._is_of_core(kind, target):
                self.record.out_of_touch.append(OutOfTouch(began, now))
            elif kind in ISOLATING:
                self.record.out_of_touch.append(OutOfTouch(began, now, proxies[target]))

    def _is_of_core(self, kind: Kind, target: str) -> bool:
        """Whether a trouble of this target may put any proxy out of touch."""
        process = self.fleet.processes.get(target)
        if process is None:
            return False
        cores = {machine["name"] for machine in self.fleet.deployment.cores()}
        is_isolated_core = kind in ISOLATING and process.machine in cores
        return is_isolated_core or process.program != "wpproxy"

    def _heal(self) -> None:
        """Waits until the fleet is whole again, with the newest configuration everywhere."""
        whole = self.fleet.until(self.health.is_whole, HEAL_SECONDS, 0.3)
        seen = f"never: {self.health.missing}" if whole is None else f"after {whole:.1f} s"
        self.findings.add("the fleet is whole again", seen, whole is not None)

    def _judge(self) -> None:
        observations = Observations(
            self.callers.tally,
            self.fleet.ledger(),
            self.record,
            self.changer.changes,
            self.probes.sent,
            self.reader.reads,
            self.ended,
            self.memory,
        )
        excuse_span = CONTACT if self.serve_on_ms > LEASE_MS else None
        Verdict(self.fleet, self.clock, observations, excuse_span).judge(self.findings)
