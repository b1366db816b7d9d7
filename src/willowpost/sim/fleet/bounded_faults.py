"""The bounded fault schedule: a deployment at its peak load, with one fault at a time.

Only faults that the fleet must bear occur, and refused requests are counted.
"""

from dataclasses import dataclass
from itertools import permutations

from willowpost.common.clock import MILLISECOND
from willowpost.sim.fleet.faults.bounded import BoundedFaultKinds
from willowpost.sim.fleet.shape import shipped
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import Weather, seconds

FEWEST, ONE_IN = 10, 500
ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Fault:
    """The cost of one fault.

    Attributes:
        name: The kind of fault.
        asked: Requests sent from the fault's beginning to the end of its recovery.
        refused: Those answered with a status of 500 or more.
        dropped: Those whose connection was refused or broke, unless the kind excuses them.
    """

    name: str
    asked: int
    refused: int
    dropped: int

    @property
    def handful(self) -> int:
        """How many refusals are allowed: ten, or one in five hundred of the requests asked.

        Each edge has some requests under way to what is lost, and a write among them may not be
        tried again. At these loads that is up to a dozen.
        """
        return max(FEWEST, self.asked // ONE_IN)


class BoundedFaultSchedule(BoundedFaultKinds):
    """Runs bounded faults over a shipped deployment.

    Args:
        seed: Decides all random choices.
        deployment: Name of the deployment.
        only: Names of the kinds to choose from, or None for all.
        rounds: How many faults occur.
        part: Part of the deployment's request rate to send.
        every: Whether to include the kinds added after the first seeds were recorded.
    """

    def __init__(
        self,
        seed: int,
        deployment: str,
        only=None,
        rounds: int = ROUNDS,
        part: float = 1.0,
        every: bool = False,
    ):
        self.shape, regions, between = shipped(deployment)
        far = {
            (one, other): between * MILLISECOND
            for one, other in permutations(sorted(set(regions.values())), 2)
        }
        self.world = FleetWorld(
            seed,
            Weather(drop=0.0005, between=far),
            rate=self.shape.rate * part,
            regions=regions,
            shape=self.shape,
        )
        kinds = (
            self.core_machine_dies,
            self.core_machine_dark,
            self.core_machine_cut,
            self.disk_lost,
            self.zone_dies,
            self.zone_dark,
            self.zone_cut,
            self.zone_emptied,
            self.restart_in_turn,
            self.daemon_dies,
            self.owner_dies,
            self.home_dies,
            self.release,
        )
        # seeds were recorded without these
        kinds += (
            (
                self.core_machine_frozen,
                self.core_machine_one_way,
                self.core_machine_loses_power_after_change,
                self.disk_slow,
                self.disk_stalled,
                self.settings_reloaded,
                self.spot_removal,
                self.address_reused,
                self.acknowledgements_lost,
                self.orders_race,
            )
            if every
            else ()
        )
        self.kinds = [kind for kind in kinds if only is None or kind.__name__ in only]
        self.rounds = rounds
        self.faults: list[Fault] = []
        self.trace: list[tuple[int, str]] = []  # (moment, fault), as it began

    def run(self) -> "BoundedFaultSchedule":
        """Runs all rounds and checks that the fleet recovers.

        Raises:
            Broken: A rule was broken, or a fault cost more than is allowed.
        """
        world = self.world
        world.open()
        world.run(seconds(10))  # the morning: origins warm, caches fill
        for _ in range(self.rounds):
            chosen_fault = world.chance.choice(self.kinds)
            self._judge(chosen_fault)
        world.settle()
        return self

    def _judge(self, fault):
        world, traffic = self.world, self.world.traffic
        self.trace.append((world.time, fault.__name__))
        refused, dropped, asked = len(traffic.refusals), len(traffic.dropped), traffic.count
        excused = fault()
        world.run(seconds(6))
        self._mend()
        world.run(seconds(8))
        found = Fault(
            fault.__name__,
            traffic.count - asked,
            len(traffic.refusals) - refused,
            0 if excused else len(traffic.dropped) - dropped,
        )
        self.faults.append(found)
        why = list(traffic.refusals)[refused:][:3]
        traffic.say(
            found.refused <= found.handful,
            f"{found.name}: {found.refused} refused of {found.asked}, "
            f"a handful is {found.handful}: {why}",
        )
        traffic.say(
            not found.dropped, f"{found.name}: {found.dropped} dropped: {traffic.dropped[-3:]}"
        )
        traffic.note_margin("refused at one fault", found.refused)
        traffic.note_margin("refused at one fault, in 10000", 10000 * found.refused // found.asked)

    def _mend(self):
        world = self.world
        world.heal()
        for name, seat in list(world.seats.items()):
            if seat.node is None and not seat.retired:
                world.start(name)
