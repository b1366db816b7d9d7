"""The commands round the daemons that read, replay and sweep."""
import json
from importlib.resources import files

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.common.clock import MILLI
from willowpost.consensus.replica.board import Pace
from willowpost.sim.fleet.calm import CalmStorm
from willowpost.sim.fleet.storm import FleetStorm
from willowpost.sim.pace import PaceMeasure
from willowpost.sim.rules import Broken
from willowpost.sim.storms import CoreStorm
from willowpost.toolbox.folder import FolderChecker, LogReplay


class CheckCommand(Command):
    name = "check"
    description = "Reads a store's folder and says what is wrong, with the place."
    arguments = [argument("folder", "The folder store/ under a wpstore's data folder.")]
    help = "Exits with 1 when there is a finding. Writes nothing; the store may be running."

    def handle(self) -> int:
        findings, facts = FolderChecker().check(self.argument("folder"))
        for finding in findings:
            self.line(json.dumps({"place": finding.place, "finding": finding.finding}))
        self.line(json.dumps(facts))
        return 1 if findings else 0


class ReplayCommand(Command):
    name = "replay"
    description = "Replays a store's recorded log to a slot and prints the tables."
    arguments = [argument("folder", "The folder store/ under a wpstore's data folder.")]
    options = [option("slot", None, "The slot to stop before; the end if not given.", flag=False)]

    def handle(self) -> int:
        try:
            tables = LogReplay().run(self.argument("folder"), int(self.option("slot")) if self.option("slot") else None)
        except (ValueError, OSError) as problem:
            self.line_error(json.dumps({"place": self.argument("folder"), "finding": str(problem)}))
            return 2
        self.line(json.dumps(json.loads(tables.text()), indent=1))
        return 0


class PaceCommand(Command):
    name = "pace"
    description = "Measures in the simulator how the core decides: fast path, forfeits, time to acceptance."
    arguments = [argument("deployment", "Whose zones, regions and pace.", optional=True, default="invitations")]
    options = [option("freeze", None, "Freeze times in ms to compare, with commas; the deployment's own if not given.", flag=False),
               option("rates", None, "Commands a second, with commas.", flag=False, default="5,20,50"),
               option("jitter", None, "Spread of each message's delay, in ms, with commas.", flag=False, default="0.2,2"),
               option("seed", None, "Seed.", flag=False, default="1")]

    def handle(self) -> int:
        held = json.loads((files("willowpost.deployments") / f"{self.argument('deployment')}.json").read_text())
        zones = [machine["zone"] for machine in held["machines"] if machine["kind"] != "edge"]
        own = held["pace"]
        self.line("freeze ms | jitter ms | asked /s | commands | slots | NULL | fast path | accepted p50 ms | p99 ms")
        for freeze in (self.option("freeze") or str(own.get("freeze", 0))).split(","):
            for jitter in self.option("jitter").split(","):
                for rate in self.option("rates").split(","):
                    pace = Pace(freeze=int(float(freeze) * MILLI), resend=own.get("resend", 60) * MILLI)
                    found = PaceMeasure(zones, held["regions"], held["between"]["ms"] * MILLI, int(float(jitter) * MILLI), pace,
                                        float(rate), int(self.option("seed"))).run()
                    self.line(f"{freeze} | {jitter} | {rate} | {found.commands} | {found.slots} | {found.nullPart:.1%} | "
                              f"{found.fastPart:.1%} | {found.acceptP50:.1f} | {found.acceptP99:.1f}")
        return 0


class SweepCommand(Command):
    name = "sweep"
    description = "Runs seeded storms in the simulator, and stops at the first that breaks a rule."
    arguments = [argument("what", "core (stores only), fleet (everything), or calm (a deployment at its peak, hit by what it must bear).")]
    options = [option("first", None, "First seed.", flag=False, default="0"),
               option("count", "c", "How many seeds.", flag=False, default="50"),
               option("wide", "w", "Also one-way cuts, pair cuts, lossy links, purge storms, swapped seeds (fleet)."),
               option("deployment", None, "Whose regions and distance (fleet).", flag=False, default="invitations"),
               option("trace", None, "Print what was done in each run.")]
    help = """A seed replays exactly:

  <info>wpdrill sweep fleet --first 59 --count 1 --trace</info>"""

    def handle(self) -> int:
        if self.argument("what") not in ("core", "fleet", "calm"):
            self.line_error(json.dumps({"place": "what", "finding": "core, fleet or calm"}))
            return 2
        held = json.loads((files("willowpost.deployments") / f"{self.option('deployment')}.json").read_text())
        far = {"regions": held["regions"], "between": held["between"]["ms"]}
        first, count, margin = int(self.option("first")), int(self.option("count")), {}
        for seed in range(first, first + count):
            storm = {"core": lambda: CoreStorm(seed), "fleet": lambda: FleetStorm(seed, wide=self.option("wide"), **far),
                     "calm": lambda: CalmStorm(seed, self.option("deployment"))}[self.argument("what")]()
            try:
                storm.run()
            except (Broken, AssertionError) as broken:
                self.line(f"seed {seed} broke: {broken}")
                self._trace(storm, 12)
                return 1
            if self.option("trace"):
                self._trace(storm, 1000)
            for name, value in getattr(getattr(storm.world, "traffic", None), "margin", {}).items():
                margin[name] = max(margin.get(name, 0), value)
        self.line(f"{count} seeds kept every rule")
        for name, value in sorted(margin.items()):
            self.line(f"  widest {name}: {value // 1000 if name.endswith('ms') else value}")
        return 0

    def _trace(self, storm, most):
        for moment, blow in getattr(storm, "blows", ())[-most:]:
            if isinstance(blow, str):
                self.line(f"  t={moment / 1e6:.3f} s  {blow}")
        for note in storm.world.notes[-most:]:
            self.line(f"  t={note[0] / 1e6:.3f} s  {note[1]} {note[2]}: {note[3]}")
