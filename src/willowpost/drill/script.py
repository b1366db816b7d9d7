"""The fleet drill: a deployment on this machine under its peak mix, broken and mended in order."""

import copy

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import DrillBase, rounded
from willowpost.drill.configuration_steps import ConfigurationSteps
from willowpost.drill.crash_steps import CrashSteps
from willowpost.drill.losses import LossSteps
from willowpost.drill.origin_steps import OriginSteps
from willowpost.drill.rules import EXTRA_FLOOR, EXTRA_PART, Findings, TrafficRules
from willowpost.stand_ins.http_call import OK

MORNING = (0.1, 0.25, 0.5, 0.75)  # parts of the rate, while origins warm up
MORNING_SECONDS = 3
STEADY_SECONDS = 15
EXTRA_SECONDS = 10  # the span in which EXTRA_FLOOR more tries are allowed


class FleetDrill(ConfigurationSteps, CrashSteps, OriginSteps, LossSteps, DrillBase):
    """All steps on one fleet.

    Invariant: every promise in the table is judged from the outside, on the running processes.
    """

    def run(self, steps) -> Findings:
        """Open, take each step by its method's name, close."""
        self.open()
        for step in steps:
            self.say(f"step: {step}")
            getattr(self, step)()
        return self.close()

    def open(self) -> None:
        """Start the fleet, its origins and, slowly, its callers.

        Raises:
            RuntimeError: The fleet did not come up.
        """
        self._start_fleet()
        self.configuration = copy.deepcopy(self.deployment.configuration)
        self.put_configuration("first configuration in force everywhere within 2 s")
        self.callers.start()
        for part in MORNING:
            self.callers.rate = self.rate * part
            gevent.sleep(MORNING_SECONDS)
        self.callers.rate = self.rate
        self.fleet.until(self.all_warm, 20)
        gevent.sleep(1)
        self.since = self.clock.now()

    def _start_fleet(self):
        self.fleet.start_all()
        ready = self.fleet.ready()
        if ready is None:
            raise RuntimeError("the fleet did not come up")
        self.figures["founded and joined, s"] = rounded(ready)
        self.fleet.start_origins()
        want = len(self.deployment.origins)
        self.fleet.until(lambda: len(self.status()["origins"]) == want, 20)

    def steady(self) -> None:
        """Nothing happens: what is served, how fast, and how much of it from copies."""
        began = self.clock.now()
        before = self.summed_stats()
        gevent.sleep(STEADY_SECONDS)
        span = (self.clock.now() - began) / SECOND
        latencies = sorted(took for start, took in self.callers.tally.latencies if start >= began)
        after = self.summed_stats()
        hits, requests = (after[name] - before[name] for name in ("hits", "requests"))
        self.figures |= {
            "served, requests/s": round(len(latencies) / span, 1),
            "latency p50, ms": round(latencies[len(latencies) // 2] / 1000, 2),
            "latency p99, ms": round(latencies[int(len(latencies) * 0.99)] / 1000, 2),
            "hits at edges and shields, part of requests there": round(hits / max(1, requests), 3),
        }

    def close(self) -> Findings:
        """Stop the callers and judge what must hold over the whole run."""
        gevent.sleep(1)
        self.callers.stop()
        self._judge_traffic()
        self._judge_read_back()
        self._judge_extra_tries()
        self.fleet.history.judge(self.findings)
        return self.findings

    def _judge_traffic(self):
        ledger, tally = self.fleet.ledger(), self.callers.tally
        ledger["paths"] = {kind["path"].strip("/"): kind["service"] for kind in self.deployment.mix}
        tally.refusals = [
            refusal for refusal in tally.refusals if not self._refusal_excused(refusal[0])
        ]
        TrafficRules(
            tally, ledger, self.configuration["services"], self.deployment.origins, self.excused
        ).judge(self.findings, self.since)

    def _refusal_excused(self, moment):
        return any(start <= moment <= end for start, end in self.excused_refusals)

    def _judge_read_back(self):
        reply = self.fleet.call("GET", "/v1/configuration", first=2)
        read = reply[2] if reply is not None and reply[0] == OK else {}
        self.findings.add(
            "read back: the last accepted configuration",
            f"version {read.get('version')} of {self.version}, {reply and reply[0]}",
            read.get("version") == self.version
            and read["configuration"]["settings"] == self.configuration["settings"],
        )
        whole = self.fleet.until(
            lambda: len({answer[2]["digest"] for answer in self.statuses()}) == 1, 5
        )
        self.findings.add(
            "every registry holds the same tables",
            f"after {rounded(whole)} s",
            whole is not None,
        )

    def _judge_extra_tries(self):
        stats = self.summed_stats()
        spans = max(1, (self.clock.now() - self.since) / (EXTRA_SECONDS * SECOND))
        self.findings.add(
            "extra tries within a fifth and sixty",
            f"{stats['extras']} extra on {stats['tries']} tries",
            stats["extras"] <= EXTRA_PART * stats["tries"] + EXTRA_FLOOR * spans,
        )
