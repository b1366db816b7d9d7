"""Runs one soak: starts the fleet, carries out the troubles of a seed, heals it and judges."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from willowpost.common.clock import SECOND, Clock
from willowpost.drill.deployment import Deployment
from willowpost.drill.fleet import free_port
from willowpost.drill.rules import Findings
from willowpost.drill.soak.actions import TroubleActions
from willowpost.drill.soak.callers import SoakCallers
from willowpost.drill.soak.configuration_reads import ConfigurationReader, outdated_reads
from willowpost.drill.soak.configuration_rules import IN_FORCE_AFTER, ConfigurationRules
from willowpost.drill.soak.configurations import ConfigurationChanger
from willowpost.drill.soak.fleet import HOST, SoakFleet
from willowpost.drill.soak.in_force_times import InForceTimes, read_log
from willowpost.drill.soak.judge import Record, SoakRules
from willowpost.drill.soak.probes import RouteProbes
from willowpost.drill.soak.schedule import Kind, Parts, Trouble, drawn
from willowpost.stand_ins.callers import ask
from willowpost.state.lifecycle import STATES_IN_FORCE

START_SECONDS = 60.0
HEAL_SECONDS = 40.0
LONG_SERVE_ON_MS, LEASE_MS = 60_000, 1500
CONTACT = 4 * SECOND
WARM_SECONDS = 3.0
SUPERVISE_SECONDS = 0.3
CALLERS_EACH_EDGE = 6
# events in log lines that tell of a violated invariant, a failed request or a process that ends
VIOLATION_EVENTS = ("invariant violated", "request failed", "broke down")


class Soak:
    """One fleet and one seed.

    Args:
        layout: The fleet's machines and origins (`soak/fleet.py`).
        folder: For settings, data and logs.
        seed: Of the troubles and callers; an odd one serves on for long without state updates.
        seconds: How long troubles begin.
        say: Told what happens.
    """

    def __init__(
        self,
        layout: dict[str, Any],
        folder: Path,
        seed: int,
        seconds: float,
        say: Callable[[str], None],
    ):
        self.seed, self.seconds, self.say = seed, seconds, say
        self.serve_on_ms = LONG_SERVE_ON_MS if seed % 2 else LEASE_MS
        deployment = Deployment(layout, folder, free_port())
        self.fleet = SoakFleet(deployment, self.serve_on_ms)
        edges = self.fleet.edges()
        self.clock = Clock()
        self.record = Record()
        self.findings = Findings()
        self.changer = ConfigurationChanger(self.fleet, self.clock)
        self.actions = TroubleActions(
            self.fleet, self.clock, self.record, self.findings, self.changer.change
        )
        self.busy: set[str] = set()  # targets that a trouble holds now
        self.ended: list[str] = []  # processes that ended by themselves, with their exit codes
        self.missing: list[str] = []  # what kept the fleet from being whole at the last look
        self.callers = SoakCallers(self.clock, edges, HOST, CALLERS_EACH_EDGE * len(edges), seed)
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
            self.callers.start()
            self.probes.start()
            self.reader.start()
            changer = gevent.spawn(self.changer.change_steadily)
            self._trouble()
            changer.kill()
            self._heal()
            self.callers.stop()
            self.probes.stop()
            self.reader.stop()
            self._judge()
            supervisor.kill()
            return self.findings
        finally:
            self.fleet.stop_all()

    def _open(self):
        self.fleet.start_all()
        self.fleet.start_origins()
        if self.fleet.ready(START_SECONDS) is None:
            raise RuntimeError("the fleet did not come up")
        if not self.changer.change():
            raise RuntimeError("the configuration was not accepted")
        self.fleet.until(self._origins_known, START_SECONDS, 0.2)
        gevent.sleep(WARM_SECONDS)

    def _origins_known(self):
        reply = self.fleet.call("GET", "/v1/status")
        return reply and len(reply[2].get("origins", {})) == len(self.fleet.deployment.origins)

    def _trouble(self):
        keys = tuple(self.fleet.processes)
        parts = Parts(
            tuple(key for key in keys if not key.endswith("/wpproxy")),
            tuple(key for key in keys if key.endswith("/wpproxy")),
            tuple(origin["address"] for origin in self.fleet.deployment.origins),
            core_tolerance=(len(self.fleet.deployment.cores()) - 1) // 2,
        )
        begun, tasks = self.clock.now(), []
        for trouble in drawn(self.seed, parts, self.seconds):
            wait = trouble.at - (self.clock.now() - begun) / SECOND
            gevent.sleep(max(0.0, wait))
            tasks.append(gevent.spawn(self._carry_out, trouble))
        gevent.joinall(tasks)

    def _supervise(self):
        """Starts processes again that have ended by themselves, as the platform does."""
        while True:
            for key, running in list(self.fleet.running.items()):
                code = running.poll()
                if code is not None and key in self.fleet.processes and key not in self.busy:
                    self.ended.append(f"{key}: {code}")
                    self.fleet.start(key)
            gevent.sleep(SUPERVISE_SECONDS)

    def _carry_out(self, trouble: Trouble):
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

    def _note(self, kind, targets, began):
        now = self.clock.now()
        proxies = self.fleet.proxies()
        for target in targets:
            if kind in (Kind.KILL, Kind.HERD_KILL, Kind.RESTART) and target in proxies:
                self.record.started.setdefault(proxies[target], []).extend((began, now))
            if kind in (Kind.KILL, Kind.HERD_KILL, Kind.FREEZE) and target in proxies:
                self.record.killed.setdefault(proxies[target], []).append((began, now))
        on_core = any(not target.endswith("/wpproxy") for target in targets if "/" in target)
        if kind in (Kind.CUT, Kind.CUT_CORE, Kind.FREEZE) or on_core:
            self.record.out_of_touch.append((began, now))

    def _heal(self):
        """Waits until the fleet is whole again, with the newest configuration everywhere."""
        whole = self.fleet.until(self._whole, HEAL_SECONDS, 0.3)
        seen = f"never: {self.missing}" if whole is None else f"after {whole:.1f} s"
        self.findings.add("the fleet is whole again", seen, whole is not None)

    def _whole(self):
        stats, wanted = self.fleet.stats(), self.changer.version
        self.missing = [
            f"{key} does not answer" for key in self.fleet.proxies() if key not in stats
        ]
        self.missing += [
            f"{key}: {one['version']} of {wanted}, sound: {one['sound']}, {one['age_ms']} ms"
            for key, one in stats.items()
            if not one["sound"] or one["version"] < wanted
        ]
        answers = [ask(address, "GET", "/v1/status") for address in self.fleet.registries()]
        digests = {answer[2].get("digest") for answer in answers if answer}
        if not all(answers) or len(digests) != 1:
            self.missing.append(f"registries: {[answer and answer[0] for answer in answers]}")
        self.missing += self._origins_out_of_force(answers)
        return not self.missing

    def _origins_out_of_force(self, answers) -> list[str]:
        """Names the running origins that a registry does not have in force."""
        tokens = set(self.fleet.steer("tokens")[2].values())
        in_force = [
            {
                origin.get("token")
                for origin in answer[2]["origins"].values()
                if origin["state"] in STATES_IN_FORCE
            }
            for answer in answers
            if answer
        ]
        return [f"origins {tokens - held} not in force" for held in in_force if tokens - held]

    def _judge(self):
        excused = CONTACT if self.serve_on_ms > LEASE_MS else None
        ledger = self.fleet.ledger()
        SoakRules(self.callers.tally, ledger, self.record, excused).judge(self.findings)
        ConfigurationRules(
            self.changer.changes,
            self.probes.sent,
            ledger["arrivals"],
            self.record.started,
            lambda at: self.record.is_excused(at, excused),
        ).judge(self.findings)
        self._judge_in_force_times()
        self.findings.add_violations(
            "no read of the configuration is outdated",
            f"{len(self.reader.reads)} reads,",
            [str(read) for read in outdated_reads(self.reader.reads, self.changer.changes)],
        )
        read = self.fleet.call("GET", "/v1/configuration", first=1)
        version = read[2]["version"] if read and read[0] == 200 else None
        self.findings.add(
            "what was accepted is read back",
            f"version {version}, accepted {self.changer.version}",
            version is not None and version >= self.changer.version,
        )
        lines = self._violations()
        self.findings.add("no invariant was violated", f"{len(lines)} {lines[:3]}", not lines)
        self.findings.add("no process ended by itself", str(self.ended), not self.ended)
        left = sum(page.get("without_caller", 0) for page in self.fleet.stats().values())
        self.findings.add("nothing is under way without a caller", str(left), not left)

    def _judge_in_force_times(self):
        times = InForceTimes(
            self.changer.changes, self.clock.wall() - self.clock.now(), self._is_troubled
        )
        for key in self.fleet.proxies():
            lines = self.fleet.log_path(key).read_text(errors="replace").splitlines()
            times.add(key, read_log(lines))
        self.findings.add(
            "a proxy in touch has a change in force in time",
            times.text(),
            times.percentile(1.0) <= IN_FORCE_AFTER,
        )

    def _is_troubled(self, key, at):
        """Whether a proxy may be out of touch, down or still soon after `at`, or was before."""
        address = self.fleet.proxies()[key]
        held = self.record.killed.get(address, [])
        starts = self.record.started.get(address, [])
        return (
            self.record.is_excused(at, CONTACT)
            or self.record.is_excused(at + IN_FORCE_AFTER, CONTACT)
            or any(begin - IN_FORCE_AFTER <= at <= end + CONTACT for begin, end in held)
            or any(start - IN_FORCE_AFTER <= at <= start + CONTACT for start in starts)
        )

    def _violations(self):
        """Lines of all processes' logs that tell of a violation, also of killed ones."""
        return [
            f"{key}: {line[:200]}"
            for key in self.fleet.processes
            for line in self.fleet.log_path(key).read_text(errors="replace").splitlines()
            if any(event in line for event in VIOLATION_EVENTS)
        ]
