"""wpdrill: a fleet on one machine, broken on purpose, and judged."""

import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.drill.capacity.command import CapacityCommand
from willowpost.drill.deployment import Deployment, known
from willowpost.drill.fleet import Fleet, free_port
from willowpost.drill.folder_commands import CheckCommand, ReplayCommand
from willowpost.drill.history_command import CheckHistoryCommand
from willowpost.drill.history_size import HistorySizeCommand
from willowpost.drill.hold import Hold
from willowpost.drill.model import ModelCommand
from willowpost.drill.pace_command import PaceCommand
from willowpost.drill.script import FleetDrill
from willowpost.drill.soak.command import SoakCommand
from willowpost.drill.sweep_command import SweepCommand
from willowpost.drill.zones import ZoneDrill

STEPS = (
    "steady",
    "configuration_change",
    "large_configuration",
    "racing_operators",
    "purge",
    "purge_fault_schedule",
    "kill_store_and_proxy",
    "lose_disk",
    "herd",
    "restart_in_turn",
    "freeze",
    "origins_break",
    "empty_zone",
    "origins_without_a_word",
    "swapped_seeds",
    "stopped_past_the_lease",
    "power_loss",
    "new_machine",
)


ARGUMENTS = [
    argument(
        "deployment",
        "One of the deployments that ship with willowpost.",
        optional=True,
        default="invitations",
    )
]
OPTIONS = [
    option("rate", "r", "Requests a second; the deployment's peak if not given.", flag=False),
    option("seed", None, "Seed of the callers.", flag=False, default="1"),
    option("port", None, "First of a hundred ports.", flag=False),
    option("history", None, "Write the operators' calls there (`check history`).", flag=False),
    option("keep", "k", "Keep the folder with logs and data; its path is printed."),
]


class DrillCommand(Command):
    """A command that runs a drill; every process that the drill started is ended with it."""

    def deployment_known(self) -> bool:
        """Whether the deployment asked for exists; says so if not."""
        if self.argument("deployment") in known():
            return True
        print(
            json.dumps({"place": "deployment", "finding": f"one of {', '.join(known())}"}),
            file=sys.stderr,
        )
        return False

    def drill(self, kind, run, hold=False) -> int:
        """Run a drill and print its figures and findings; 1 if a rule is broken."""
        folder = Path(tempfile.mkdtemp(prefix="wpdrill-"))
        fleet = Fleet(
            Deployment(self.argument("deployment"), folder, int(self.option("port") or free_port()))
        )
        drill = kind(
            fleet,
            float(self.option("rate") or fleet.deployment.rate),
            int(self.option("seed")),
            self.line,
        )
        try:
            if hold:
                return self._hold(drill, fleet)
            findings = run(drill)
            self.line("")
            for name, figure in drill.figures.items():
                self.line(f"{name}: {figure}")
            self.line("")
            self.line(findings.text())
            return 1 if findings.broken else 0
        finally:
            fleet.stop_all()
            if self.option("history"):
                fleet.history.write(self.option("history"))
            if self.option("keep"):
                self.line(f"folder: {folder}")
            else:
                shutil.rmtree(folder, ignore_errors=True)

    def _hold(self, drill, fleet):
        drill.open()
        self.line(f"edges: {' '.join(fleet.edges())}")
        self.line(f"registries: {' '.join(fleet.registries())}")
        self.line(f"host: {fleet.deployment.host}")
        drill.callers.stop()
        hold = Hold(self._say)
        self._say("serving; a line, SIGINT or SIGTERM ends it")
        hold.wait()
        return 0

    def _say(self, text):
        self.line(text)
        sys.stdout.flush()


class FleetCommand(DrillCommand):
    """Runs the fleet drill's steps, or holds a fleet."""

    name = "fleet"
    description = (
        "Starts a deployment on loopback, sends its peak mix, breaks it, and judges each rule."
    )
    arguments: ClassVar[list] = ARGUMENTS
    options: ClassVar[list] = [
        *OPTIONS,
        option("steps", "s", f"Steps with commas, of: {','.join(STEPS)}.", flag=False),
        option(
            "hold",
            None,
            "Once the configuration is in force, hold the fleet until a line or a signal comes.",
        ),
    ]
    help = """The drill stands in for the platform: it starts and ends the processes, runs stand-in
origins and callers, and prints a table: each rule of the brief, what was seen, kept or broken.
It exits with 1 when one is broken.

  <info>wpdrill fleet invitations</info>
  <info>wpdrill fleet screening --steps steady,purge</info>
  <info>wpdrill fleet invitations --hold</info>"""

    def handle(self) -> int:
        """Check the arguments and run; the exit code."""
        if not self.deployment_known():
            return 2
        steps = (self.option("steps") or ",".join(STEPS)).split(",")
        unknown = [step for step in steps if step and step not in STEPS]
        if unknown:
            print(
                json.dumps({"place": "steps", "finding": f"no step {', '.join(unknown)}"}),
                file=sys.stderr,
            )
            return 2
        return self.drill(
            FleetDrill,
            lambda drill: drill.run([step for step in steps if step]),
            hold=self.option("hold"),
        )


class ZoneCommand(DrillCommand):
    """Runs the zone drill."""

    name = "zone"
    description = (
        "Takes each zone out of a running fleet under load, by emptying and by killing, "
        "and judges the promises."
    )
    arguments: ClassVar[list] = ARGUMENTS
    options: ClassVar[list] = [
        *OPTIONS,
        option("zones", "z", "Zones with commas; all if not given.", flag=False),
        option(
            "by",
            None,
            "emptying, killing or both with a comma.",
            flag=False,
            default="emptying,killing",
        ),
    ]
    help = (
        "It restores each zone, and reports the time to repair. "
        "Exits with 1 when a promise is broken."
    )

    def handle(self) -> int:
        """Check the arguments and run; the exit code."""
        routes = self.option("by").split(",")
        if not self.deployment_known() or not set(routes) <= {"emptying", "killing"}:
            return 2
        return self.drill(
            ZoneDrill,
            lambda drill: drill.run_zones(
                self.option("zones").split(",") if self.option("zones") else drill.deployment.zones,
                routes,
            ),
        )


def main() -> None:
    """Run the command line."""
    application = Application("wpdrill", "0.1.0")
    for command in (
        FleetCommand(),
        ZoneCommand(),
        CheckCommand(),
        CheckHistoryCommand(),
        PaceCommand(),
        ReplayCommand(),
        SoakCommand(),
        SweepCommand(),
        CapacityCommand(),
        ModelCommand(),
        HistorySizeCommand(),
    ):
        application.add(command)
    sys.exit(application.run())
