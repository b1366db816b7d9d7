"""Judges a soak by all its rules."""

from dataclasses import dataclass
from typing import Any

from willowpost.common.clock import SECOND, Clock
from willowpost.drill.rules import Findings
from willowpost.drill.soak.callers import CallerTally
from willowpost.drill.soak.configuration_reads import ConfigurationRead, outdated_reads
from willowpost.drill.soak.configuration_rules import IN_FORCE_AFTER, ConfigurationRules
from willowpost.drill.soak.configurations import Change, newest_version
from willowpost.drill.soak.fleet import SoakFleet
from willowpost.drill.soak.in_force_times import InForceTimes, read_log
from willowpost.drill.soak.judge import Record, SoakRules
from willowpost.drill.soak.memory_watch import MemoryWatch
from willowpost.drill.soak.probes import Probe
from willowpost.stand_ins.http_call import OK

CONTACT = 4 * SECOND
# events in log lines that tell of a violated invariant, a failed request or a process that ends
VIOLATION_EVENTS = ("invariant violated", "request failed", "broke down")


@dataclass(frozen=True, slots=True)
class Observations:
    """What was seen from outside during a soak.

    Attributes:
        tally: What the callers sent and got.
        ledger: What the origins saw.
        record: What happened to the fleet.
        changes: Of the configuration, in their order.
        probes: Requests on the changes' routes, by their ids.
        reads: Of the configuration, that were answered.
        ended: Processes that ended by themselves, with their exit codes.
        memory: What the proxies have had.
    """

    tally: CallerTally
    ledger: dict[str, Any]
    record: Record
    changes: list[Change]
    probes: dict[str, Probe]
    reads: list[ConfigurationRead]
    ended: list[str]
    memory: MemoryWatch


class Verdict:
    """Judges a fleet that still runs.

    Args:
        fleet: The fleet.
        clock: The machine's clock.
        observations: What was seen.
        excuse_span: µs after a trouble of the core or a cut in which old tables are excused; None:
            the proxies' lease bounds the age of their tables, so nothing is.
    """

    def __init__(
        self, fleet: SoakFleet, clock: Clock, observations: Observations, excuse_span: int | None
    ) -> None:
        self.fleet, self.clock = fleet, clock
        self.observations, self.excuse_span = observations, excuse_span

    def judge(self, findings: Findings) -> None:
        """Adds a row for each rule."""
        seen = self.observations
        SoakRules(seen.tally, seen.ledger, seen.record, self.excuse_span).judge(findings)
        ConfigurationRules(
            seen.changes,
            seen.probes,
            seen.ledger["arrivals"],
            seen.record.started,
            lambda edge, at: seen.record.is_excused(at, self.excuse_span, edge),
        ).judge(findings)
        self._judge_in_force_times(findings)
        self._judge_reads(findings)
        self._judge_processes(findings)

    def _judge_in_force_times(self, findings: Findings) -> None:
        times = InForceTimes(
            self.observations.changes, self.clock.wall() - self.clock.now(), self._is_troubled
        )
        for key in self.fleet.proxies():
            times.add(key, read_log(self._log_lines(key)))
        findings.add(
            "a proxy in touch has a change in force in time",
            times.text(),
            times.percentile(1.0) <= IN_FORCE_AFTER,
        )

    def _is_troubled(self, key: str, at: int) -> bool:
        """Whether a proxy may be out of touch, down or still soon after `at`, or was before."""
        address, record = self.fleet.proxies()[key], self.observations.record
        held = record.killed.get(address, [])
        starts = record.started.get(address, [])
        return (
            record.is_excused(at, CONTACT, address)
            or record.is_excused(at + IN_FORCE_AFTER, CONTACT, address)
            or any(begin - IN_FORCE_AFTER <= at <= end + CONTACT for begin, end in held)
            or any(start - IN_FORCE_AFTER <= at <= start + CONTACT for start in starts)
        )

    def _judge_reads(self, findings: Findings) -> None:
        reads, wanted = self.observations.reads, newest_version(self.observations.changes)
        findings.add_violations(
            "no read of the configuration is outdated",
            f"{len(reads)} reads,",
            [str(read) for read in outdated_reads(reads, self.observations.changes)],
        )
        last = self.fleet.call("GET", "/v1/configuration", first=1)
        version = last[2]["version"] if last and last[0] == OK else None
        findings.add(
            "what was accepted is read back",
            f"version {version}, accepted {wanted}",
            version is not None and version >= wanted,
        )

    def _judge_processes(self, findings: Findings) -> None:
        lines, ended = self._violations(), self.observations.ended
        findings.add("no invariant was violated", f"{len(lines)} {lines[:3]}", not lines)
        findings.add("no process ended by itself", str(ended), not ended)
        memory = self.observations.memory
        peak = max(memory.peaks_mb.values(), default=0)
        findings.add_violations(
            "no proxy takes more memory than it may", f"peak {peak} MB,", memory.over_limit()
        )
        left = sum(page.get("without_caller", 0) for page in self.fleet.stats().values())
        findings.add("nothing is under way without a caller", str(left), not left)

    def _violations(self) -> list[str]:
        """Lines of all processes' logs that tell of a violation, also of killed ones."""
        return [
            f"{key}: {line[:200]}"
            for key in self.fleet.processes
            for line in self._log_lines(key)
            if any(event in line for event in VIOLATION_EVENTS)
        ]

    def _log_lines(self, key: str) -> list[str]:
        return self.fleet.log_path(key).read_text(errors="replace").splitlines()
