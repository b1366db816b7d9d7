"""The calm fault schedule: a deployment in its rush, hit only by what it must bear.

One thing at a time; and refusals are counted.
"""

from dataclasses import dataclass
from itertools import permutations

from willowpost.common.clock import MILLI
from willowpost.sim.fleet.shape import shipped
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import Weather, seconds

FEWEST, ONE_IN = 10, 500
ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Fault:
    name: str
    asked: int
    refused: int
    dropped: int

    @property
    def handful(self) -> int:
        """Ten.

        Or one in five hundred of the requests asked from the fault until all is whole again. What a
        loss must cost: each edge has some requests under way toward what is lost, and of those a
        write may not be tried again; at these peaks that is up to a dozen.
        """
        return max(FEWEST, self.asked // ONE_IN)


class BoundedFaultSchedule:
    """Invariant: run() raises Broken when a rule breaks or a fault costs more than a handful.

    Or drops what it may not.
    """

    def __init__(
        self, seed: int, deployment: str, only=None, rounds: int = ROUNDS, part: float = 1.0
    ):
        self.shape, regions, between = shipped(deployment)
        far = {
            (one, other): between * MILLI
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
        self.kinds = [kind for kind in kinds if only is None or kind.__name__ in only]
        self.rounds = rounds
        self.faults: list[Fault] = []
        self.trace: list[tuple[int, str]] = []  # (moment, fault), as it began

    def run(self) -> "BoundedFaultSchedule":
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
            f"{found.name}: {found.refused} refused of {found.asked}, a handful is {found.handful}: {why}",
        )
        traffic.say(
            not found.dropped, f"{found.name}: {found.dropped} dropped: {traffic.dropped[-3:]}"
        )
        traffic._margin("refused at one fault", found.refused)
        traffic._margin("refused at one fault, in 10000", 10000 * found.refused // found.asked)

    def _mend(self):
        world = self.world
        world.heal()
        for name, seat in list(world.seats.items()):
            if seat.node is None and not seat.retired:
                world.start(name)

    def _die(self, names, dark=False):
        for name in names:
            self.world.crash(name)
            self.world.seats[name].dark = dark
        return True

    def _machine(self):
        number = self.world.chance.randrange(5)
        return [
            name for name in (f"s{number}", f"r{number}", f"h{number}") if name in self.world.seats
        ]

    def _zone(self):
        return self.world.chance.choice(self.shape.zones)

    def _cut(self, names):
        self.world.cut(names, [name for name in self.world.seats if name not in names])
        return True

    # what the fleet must bear

    def core_machine_dies(self):
        return self._die(self._machine())

    def core_machine_dark(self):
        return self._die(self._machine(), dark=True)

    def core_machine_cut(self):
        return self._cut(self._machine())

    def zone_dies(self):
        return self._die(self.world.zone_seats(self._zone()))

    def zone_dark(self):
        return self._die(self.world.zone_seats(self._zone()), dark=True)

    def zone_cut(self):
        return self._cut(self.world.zone_seats(self._zone()))

    def daemon_dies(self):
        return self._die(
            [
                self.world.chance.choice(
                    self.world.names + self.world.registries + self.world.edges + self.world.shields
                )
            ]
        )

    def disk_lost(self):
        name = self.world.chance.choice(self.world.names)
        self.world.crash(name, lose_disk=True)
        self.world.start(name)
        return False

    def zone_emptied(self):
        zone = self._zone()
        self.world.empty_zone(0, zone, True)
        self.world.run(seconds(8))
        self.world.empty_zone(1, zone, False)
        return False

    def restart_in_turn(self):
        """A machine's daemons, one by one, as the platform would."""
        for name in (*self._machine(), self.world.chance.choice(self.world.edges)):
            self.world.restart(name)
            self.world.run(seconds(8))
        return False

    def owner_dies(self):
        tables = self.world.seats["r0"].node.registry.tables
        return self._die(
            [
                self.world.chance.choice(
                    sorted({card["owner"] for card in tables.fences.values()})
                ).split("/")[0]
            ]
        )

    def home_dies(self):
        """The proxy that the others of its zone get their state updates from."""
        edge = self.world.seats[self.world.chance.choice(self.world.edges)]
        source = edge.node.node.controllers[0].sources()[0]
        return self._die([source])

    def release(self):
        """An application is replaced: says that it leaves, finishes, comes back cold."""
        name = self.world.chance.choice(self.world.origins)
        self.world.drain_origin(0, name)
        self.world.run(seconds(3))
        self.world.crash(name)
        self.world.run(100 * MILLI)
        self.world.start(name)
        return False
