"""Measures what a long history costs: disk, memory, restart and catch-up against its length.

Three stores' own state machines on a virtual clock and network, with their real disks in a folder:
one is away while the others take N changes of a configuration, and comes back with its old disk,
then with an empty one.
"""

import os
import resource
import shutil
import tempfile
import time
from dataclasses import dataclass

from cleo.commands.command import Command
from cleo.helpers import option

from willowpost.shell.disk import Disk
from willowpost.sim.core import CoreWorld
from willowpost.sim.disk import SimDisk
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import ConfigurationProposal

AWAY, VOTER = "s2", "s0"
BEFORE = 3  # changes that the one that goes away still hears of
ACCEPT_SECONDS = 30
CATCH_UP_SECONDS = 120
SOURCE_BYTES_PER_ROUTE = 300


class FolderDisk(SimDisk):
    """A simulated machine's disk that is a real folder, written and synced as a store does."""

    def __init__(self, folder: str):
        super().__init__()
        self.folder = folder
        self.disk: Disk | None = None
        self.largest = 0  # bytes of the folder, the most after any write

    @property
    def records(self) -> list[dict]:
        """The records that a restart finds, read anew from the folder."""
        self.disk = Disk(self.folder)
        return self.disk.load()

    @records.setter
    def records(self, records: list[dict]) -> None:
        self.disk = Disk(self.folder)
        self.disk.load()
        self.disk.rotate(records)

    def write(self, plan, upto: int | None = None) -> None:
        """Writes a plan's records; `upto` is ignored, since a write here is never cut off."""
        before = self.size() if plan.rotate is not None else 0
        if plan.rotate is not None:
            self.disk.rotate(plan.rotate + plan.records)
        elif plan.records:
            self.disk.append(plan.records)
        # while a segment is written the old one is still there
        self.largest = max(self.largest, self.disk.synced_bytes + before)

    def size(self) -> int:
        """Bytes of all files in the folder."""
        return sum(entry.stat().st_size for entry in os.scandir(self.folder))


@dataclass(frozen=True, slots=True)
class HistoryFigures:
    """The figures of one run.

    Attributes:
        changes: Changes of the configuration made.
        routes: Routes of each configuration.
        configuration: Size of one configuration, in MB.
        disk: The most that the folder of one store ever held, in MB.
        memory: The most that this process, with the simulator and all stores, has held so far, in
            MB.
        restart: Time to restart a voter from its disk, in seconds of this machine.
        catch_up_old_disk: Time to catch up with the old disk, in seconds of the virtual clock.
        catch_up_empty_disk: The same with an empty disk.
        catch_up_processor: Processor time of all stores and the simulator meanwhile, in seconds.
    """

    changes: int
    routes: int
    configuration: float
    disk: float  # the most that the folder of one store ever held
    memory: float  # the most that this process held so far: simulator and all stores
    restart: float  # a voter's, from its disk
    catch_up_old_disk: float
    catch_up_empty_disk: float
    catch_up_processor: float  # s of processor time of all stores and the simulator, empty disk

    def row(self) -> str:
        """One row of the table."""
        return (
            f"| {self.changes} | {self.routes} | {self.configuration:.2f} | {self.disk:.1f} | "
            f"{self.memory:.0f} | {self.restart:.2f} | {self.catch_up_old_disk:.2f} | "
            f"{self.catch_up_empty_disk:.2f} | {self.catch_up_processor:.2f} |"
        )


HEADER = """| changes | routes | configuration, MB | disk, MB | memory, MB | restart, s | \
catch-up old disk, s | empty disk, s | processor, s |
|---|---|---|---|---|---|---|---|---|"""


def tree_of(number: int, routes: int) -> dict:
    """A configuration in which each route differs from the one before."""
    branches = {
        f"route-{route}": {
            "path": f"/{number}/{route}/" + "p" * 120,
            "settings": {"service": f"service-{route % 40}", "deadline_ms": 900 + number % 100},
        }
        for route in range(routes)
    }
    return {"branches": branches}


class HistoryMeasure:
    """One run of three stores with the code of a fleet.

    Only the clock, the network and the processes are simulated.

    Args:
        changes: Changes of the configuration to make.
        routes: Routes of each configuration.
        folder: Where the stores' disks are.
        seed: Decides all random choices.
    """

    def __init__(self, changes: int, routes: int, folder: str, seed: int = 1):
        self.changes, self.routes, self.folder = changes, routes, folder
        self.world = CoreWorld(seed, zones=())
        self.world.checks.clear()  # the rules read each disk whole at each step

    def run(self) -> HistoryFigures:
        """Makes the changes and measures restart and catch-up.

        Raises:
            TimeoutError: A step did not end in its span of the virtual clock.
        """
        world = self.world
        self._add_stores()
        self._until(world.bootstrapped, ACCEPT_SECONDS)
        world.add_caller("caller", [VOTER, "s1"])
        for number in range(BEFORE):
            self._change(number)
        world.crash(AWAY)
        for number in range(BEFORE, self.changes):
            self._change(number)
        restart = self._restart_voter()
        old_disk, _ = self._catch_up()
        world.crash(AWAY)
        shutil.rmtree(world.seats[AWAY].disk.folder)
        empty_disk, processor = self._catch_up()
        return HistoryFigures(
            self.changes,
            self.routes,
            len(str(tree_of(0, self.routes))) / 1e6,
            world.seats[VOTER].disk.largest / 1e6,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3,
            restart,
            old_disk,
            empty_disk,
            processor,
        )

    def _add_stores(self):
        world = self.world
        world.members = 3
        world.names = ["s0", "s1", "s2"]
        world.zones = dict(zip(world.names, "abc", strict=True))
        world.make_disk = lambda address: FolderDisk(os.path.join(self.folder, address))
        for name, zone in world.zones.items():
            world.add_store(name, name, zone)

    def _change(self, number):
        proposal = ConfigurationProposal(
            tree=tree_of(number, self.routes), source="s" * SOURCE_BYTES_PER_ROUTE * self.routes
        )
        token = self.world.ask("caller", proposal)
        self._until(lambda: token in self.world.replies, ACCEPT_SECONDS)
        self.world.replies.clear()

    def _restart_voter(self) -> float:
        """Seconds of this machine until a voter has restarted from its own disk."""
        self.world.crash(VOTER)
        begun = time.perf_counter()
        self.world.start(VOTER)
        return time.perf_counter() - begun

    def _catch_up(self) -> tuple[float, float]:
        """Virtual and processor seconds until the store that was away holds all decisions."""
        world = self.world
        world.start(AWAY)
        begun, processor = world.time, time.process_time()
        self._until(lambda: self._slot(AWAY) >= self._slot("s1"), CATCH_UP_SECONDS)
        return (world.time - begun) / 1e6, time.process_time() - processor

    def _slot(self, name):
        return self.world.seats[name].node.node_state.tables.slot

    def _until(self, condition, span):
        if not self.world.until(condition, seconds(span)):
            raise TimeoutError(f"not within {span} s of the virtual clock")


class HistorySizeCommand(Command):
    """The command `history-size` of the drill."""

    name = "history-size"
    description = "Measures disk, memory, restart and catch-up of a store against its history."
    options = [
        option("changes", "c", "How many changes, with commas.", flag=False, default="100,1000"),
        option("routes", "r", "Routes of the configuration.", flag=False, default="300"),
    ]
    help = """Runs three stores on a virtual clock with real disks under the folder for \
temporary files.
Runs come in the order given, and memory is the most that the process held so far: give rising
numbers of changes.

  <info>wpdrill history-size --changes 100,1000,10000 --routes 300</info>"""

    def handle(self) -> int:
        """Runs the measure for each number of changes and prints a table; always returns 0."""
        self.line(HEADER)
        for changes in (int(number) for number in self.option("changes").split(",")):
            folder = tempfile.mkdtemp(prefix="wpdrill-history-")
            try:
                figures = HistoryMeasure(changes, int(self.option("routes")), folder).run()
            finally:
                shutil.rmtree(folder, ignore_errors=True)
            self.line(figures.row())
        return 0
