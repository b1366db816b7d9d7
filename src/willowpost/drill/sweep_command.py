"""The command `wpdrill sweep`: seeded fault schedules in the simulator."""

import json
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.drill.deployment import shipped
from willowpost.sim.fault_schedules import CoreFaultSchedule
from willowpost.sim.fleet.bounded_faults import BoundedFaultSchedule
from willowpost.sim.fleet.fault_schedule import FleetFaultSchedule
from willowpost.sim.replacement_faults import ReplacementFaultSchedule

# Any of the fault schedules: they share run(), `world` and, most of them, `trace`.
FaultSchedule = Any

FAILURE_LINES = 12  # of its trace, for a schedule that broke a rule
TRACE_LINES = 1000
USAGE_ERROR = 2


@dataclass(slots=True)
class SweepResult:
    """What a sweep has seen so far.

    Attributes:
        ran: How many seeds.
        broken: How many seeds broke each rule.
        margins: The widest value seen of what the schedules measure, by its name.
    """

    ran: int = 0
    broken: Counter[str] = field(default_factory=Counter)
    margins: dict[str, int] = field(default_factory=dict)

    def widen(self, schedule: FaultSchedule) -> None:
        """Takes over what a schedule has measured."""
        traffic = getattr(schedule.world, "traffic", None)
        for name, value in getattr(traffic, "margin", {}).items():
            self.margins[name] = max(self.margins.get(name, 0), value)


class SweepCommand(Command):
    """Runs seeded fault schedules."""

    name = "sweep"
    description = (
        "Runs seeded fault schedules in the simulator, "
        "and stops at the first that breaks a rule unless told to go on."
    )
    arguments: ClassVar[list[Any]] = [
        argument(
            "what",
            "core (stores only), replacements (stores whose machines are replaced, "
            "3 voters on even seeds, 5 on odd ones), fleet (everything), or bounded "
            "(a deployment at its peak, hit by what it must bear).",
        )
    ]
    options: ClassVar[list[Any]] = [
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
        schedules, what = self._schedules(), self.argument("what")
        if what not in schedules:
            finding = f"one of {', '.join(schedules)}"
            self.line_error(json.dumps({"place": "what", "finding": finding}))
            return USAGE_ERROR
        first, result = int(self.option("first")), SweepResult()
        for seed in range(first, first + int(self.option("count"))):
            schedule = schedules[what](seed)
            rule = self._run(schedule, seed)
            result.ran += 1
            result.widen(schedule)
            if rule is None:
                continue
            result.broken[rule] += 1
            if not self.option("go-on"):
                break
        self._report(result)
        return 1 if result.broken else 0

    def _schedules(self) -> dict[str, Callable[[int], FaultSchedule]]:
        """Returns what makes a schedule of a seed, by the command's first argument."""
        deployment, every = self.option("deployment"), self.option("every")
        return {
            "core": CoreFaultSchedule,
            "replacements": lambda seed: ReplacementFaultSchedule(
                seed, voters=5 if seed % 2 else 3
            ),
            "fleet": lambda seed: FleetFaultSchedule(
                seed,
                wide=self.option("wide"),
                every=every,
                regions=shipped(deployment)["regions"],
                between=shipped(deployment)["between"]["ms"],
            ),
            "bounded": lambda seed: BoundedFaultSchedule(
                seed, deployment, **({"every": True} if every else {})
            ),
        }

    def _report(self, result: SweepResult) -> None:
        broken = result.broken.total()
        kept = result.ran - broken
        self.line(
            f"{kept} of {result.ran} seeds kept every rule, {broken} broke one"
            if broken
            else f"{kept} seeds kept every rule"
        )
        for rule, times in result.broken.most_common():
            self.line(f"  {times} broke: {rule}")
        for name, value in sorted(result.margins.items()):
            shown = value // MILLISECOND if name.endswith("ms") else value
            self.line(f"  widest {name}: {shown}")

    def _run(self, schedule: FaultSchedule, seed: int) -> str | None:
        """Runs a schedule; returns the rule that it broke, if it broke one."""
        try:
            schedule.run()
        except AssertionError as broken:
            self.line(f"seed {seed} broke: {broken}")
            self._print_trace(schedule, FAILURE_LINES)
            return str(getattr(broken, "rule", broken))
        # Whatever the code under test raises is a finding of the sweep, which goes on.
        except Exception as fault:
            self.line(f"seed {seed} raised: {traceback.format_exc()}")
            self._print_trace(schedule, FAILURE_LINES)
            return f"nothing raises: {type(fault).__name__}"
        if self.option("trace"):
            self._print_trace(schedule, TRACE_LINES)
        return None

    def _print_trace(self, schedule: FaultSchedule, max_lines: int) -> None:
        for moment, fault in getattr(schedule, "trace", ())[-max_lines:]:
            self.line(f"  t={moment / SECOND:.3f} s  {fault}")
        for moment, name, component, event, *_ in schedule.world.notes[-max_lines:]:
            self.line(f"  t={moment / SECOND:.3f} s  {name} {component}: {event}")
