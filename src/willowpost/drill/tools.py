"""The commands round the daemons that read, replay and sweep."""

import json
import traceback
from collections import Counter
from importlib.resources import files
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.sim.fault_schedules import CoreFaultSchedule
from willowpost.sim.fleet.bounded_faults import BoundedFaultSchedule
from willowpost.sim.fleet.fault_schedule import FleetFaultSchedule
from willowpost.sim.pace import PaceMeasure
from willowpost.sim.replacement_faults import ReplacementFaultSchedule
from willowpost.toolbox.folder_checker import FolderChecker, FolderIssue
from willowpost.toolbox.log_replay import LogReplay


class CheckCommand(Command):
    """Checks a store's folder."""

    name = "check"
    description = "Reads a store's folder and says what is wrong, with the place."
    arguments: ClassVar[list] = [
        argument("folder", "The folder store/ under a wpstore's data folder.")
    ]
    help = "Exits with 1 when there is a finding. Writes nothing; the store may be running."

    def handle(self) -> int:
        """Print issues and facts; 1 if there is an issue."""
        report = FolderChecker().check(self.argument("folder"))
        for issue in report.issues:
            self.line(json.dumps(issue.to_json()))
        self.line(json.dumps(report.facts.to_json() if report.facts else {}))
        return 1 if report.issues else 0


class ReplayCommand(Command):
    """Replays a store's log."""

    name = "replay"
    description = "Replays a store's recorded log to a slot and prints the tables."
    arguments: ClassVar[list] = [
        argument("folder", "The folder store/ under a wpstore's data folder.")
    ]
    options: ClassVar[list] = [
        option("slot", None, "The slot to stop before; the end if not given.", flag=False)
    ]

    def handle(self) -> int:
        """Print the tables; 2 if the folder does not hold the slot."""
        try:
            tables = LogReplay().run(
                self.argument("folder"), int(self.option("slot")) if self.option("slot") else None
            )
        except (ValueError, OSError) as problem:
            self.line_error(
                json.dumps(FolderIssue(self.argument("folder"), str(problem)).to_json())
            )
            return 2
        self.line(json.dumps(json.loads(tables.text()), indent=1))
        return 0


class PaceCommand(Command):
    """Measures the core's pace in the simulator."""

    name = "pace"
    description = (
        "Measures in the simulator how the core decides: fast path, forfeits, time to acceptance."
    )
    arguments: ClassVar[list] = [
        argument(
            "deployment", "Whose zones, regions and pace.", optional=True, default="invitations"
        )
    ]
    options: ClassVar[list] = [
        option(
            "freeze",
            None,
            "Freeze times in ms to compare, with commas; the deployment's own if not given.",
            flag=False,
        ),
        option("rates", None, "Commands a second, with commas.", flag=False, default="5,20,50"),
        option(
            "jitter",
            None,
            "Spread of each message's delay, in ms, with commas.",
            flag=False,
            default="0.2,2",
        ),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Print a row for each freeze time, jitter and rate."""
        deployment = json.loads(
            (files("willowpost.deployments") / f"{self.argument('deployment')}.json").read_text()
        )
        zones = [machine["zone"] for machine in deployment["machines"] if machine["kind"] != "edge"]
        own = deployment["pace"]
        self.line(
            "freeze ms | jitter ms | asked /s | commands | slots | NULL | fast path | "
            "accepted p50 ms | p99 ms"
        )
        for freeze in (self.option("freeze") or str(own.get("freeze", 0))).split(","):
            for jitter in self.option("jitter").split(","):
                for rate in self.option("rates").split(","):
                    pace = ReplicaTuning(
                        proposal_delay_us=int(float(freeze) * MILLISECOND),
                        resend_interval_us=own.get("resend", 60) * MILLISECOND,
                    )
                    found = PaceMeasure(
                        zones,
                        deployment["regions"],
                        deployment["between"]["ms"] * MILLISECOND,
                        int(float(jitter) * MILLISECOND),
                        pace,
                        float(rate),
                        int(self.option("seed")),
                    ).run()
                    self.line(
                        f"{freeze} | {jitter} | {rate} | {found.commands} | {found.slots} | "
                        f"{found.null_part:.1%} | {found.fast_part:.1%} | "
                        f"{found.accept_p_50:.1f} | {found.accept_p_99:.1f}"
                    )
        return 0


SWEPT = ("core", "replacements", "fleet", "bounded")


class SweepCommand(Command):
    """Runs seeded fault schedules."""

    name = "sweep"
    description = (
        "Runs seeded fault schedules in the simulator, "
        "and stops at the first that breaks a rule unless told to go on."
    )
    arguments: ClassVar[list] = [
        argument(
            "what",
            "core (stores only), replacements (stores whose machines are replaced, "
            "3 voters on even seeds, 5 on odd ones), fleet (everything), or bounded "
            "(a deployment at its peak, hit by what it must bear).",
        )
    ]
    options: ClassVar[list] = [
        option("first", None, "First seed.", flag=False, default="0"),
        option("count", "c", "How many seeds.", flag=False, default="50"),
        option(
            "wide",
            "w",
            "Also one-way cuts, pair cuts, lossy links, streams of purges, swapped seeds (fleet).",
        ),
        option(
            "deployment",
            None,
            "Whose regions and distance (fleet).",
            flag=False,
            default="invitations",
        ),
        option("every", None, "Every kind of fault that the schedules know (fleet, bounded)."),
        option("trace", None, "Print what was done in each run."),
        option(
            "go-on",
            "g",
            "Go on to the next seeds after one that broke a rule, and count them at the end.",
        ),
    ]
    help = """A seed replays exactly:

  <info>wpdrill sweep fleet --first 59 --count 1 --trace</info>

It exits with 1 when a seed broke a rule."""

    def handle(self) -> int:
        """Run the seeds; 1 if one broke a rule."""
        if self.argument("what") not in SWEPT:
            self.line_error(json.dumps({"place": "what", "finding": f"one of {', '.join(SWEPT)}"}))
            return 2
        deployment = json.loads(
            (files("willowpost.deployments") / f"{self.option('deployment')}.json").read_text()
        )
        far = {"regions": deployment["regions"], "between": deployment["between"]["ms"]}
        first, count, margin, broke = (
            int(self.option("first")),
            int(self.option("count")),
            {},
            Counter(),
        )
        ran = 0
        for seed in range(first, first + count):
            ran += 1
            fault_schedule = {
                "core": lambda: CoreFaultSchedule(seed),
                "replacements": lambda: ReplacementFaultSchedule(seed, voters=5 if seed % 2 else 3),
                "fleet": lambda: FleetFaultSchedule(
                    seed, wide=self.option("wide"), every=self.option("every"), **far
                ),
                "bounded": lambda: BoundedFaultSchedule(
                    seed,
                    self.option("deployment"),
                    **({"every": True} if self.option("every") else {}),
                ),
            }[self.argument("what")]()
            rule = self._run(fault_schedule, seed)
            for name, value in getattr(
                getattr(fault_schedule.world, "traffic", None), "margin", {}
            ).items():
                margin[name] = max(margin.get(name, 0), value)
            if rule is not None:
                broke[rule] += 1
                if not self.option("go-on"):
                    break
        kept = ran - broke.total()
        self.line(
            f"{kept} seeds kept every rule"
            if not broke
            else f"{kept} of {ran} seeds kept every rule, {broke.total()} broke one"
        )
        for rule, times in broke.most_common():
            self.line(f"  {times} broke: {rule}")
        for name, value in sorted(margin.items()):
            self.line(f"  widest {name}: {value // 1000 if name.endswith('ms') else value}")
        return 1 if broke else 0

    def _run(self, fault_schedule, seed) -> str | None:
        """The rule that the fault schedule broke, if it broke one."""
        try:
            fault_schedule.run()
        except AssertionError as broken:
            self.line(f"seed {seed} broke: {broken}")
            self._trace(fault_schedule, 12)
            return getattr(broken, "rule", str(broken))
        except Exception as fault:
            self.line(f"seed {seed} raised: {traceback.format_exc()}")
            self._trace(fault_schedule, 12)
            return f"nothing raises: {type(fault).__name__}"
        if self.option("trace"):
            self._trace(fault_schedule, 1000)
        return None

    def _trace(self, fault_schedule, most):
        for moment, fault in getattr(fault_schedule, "trace", ())[-most:]:
            self.line(f"  t={moment / 1e6:.3f} s  {fault}")
        for note in fault_schedule.world.notes[-most:]:
            self.line(f"  t={note[0] / 1e6:.3f} s  {note[1]} {note[2]}: {note[3]}")
