"""Seeded fault schedules over a simulated core: crashes, torn writes, partitions, clock jumps."""

from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.sim.core import CoreWorld
from willowpost.sim.seat import Seat
from willowpost.sim.world import Weather, seconds
from willowpost.state.operations import EvacuateZone
from willowpost.wire.messages import Member

ROUNDS = 60


class CoreFaultSchedule:
    """Random faults over a core, one after each operation.

    Args:
        seed: Decides all random choices.
        **world: Further arguments of CoreWorld.
    """

    rounds = ROUNDS

    def __init__(self, seed: int, **world):
        self.world = CoreWorld(seed, Weather(drop=0.05, twice=0.05, spread=5000), **world)
        self.tokens: list[int] = []
        self.faults = (
            (0.10, self._kill),
            (0.20, self._start_all),
            (0.25, self._cut),
            (0.30, self.world.heal),
            (0.35, self._freeze),
            (0.45, self._tear),
            (0.50, self._mend),
            (0.53, self._herd),
            (0.56, self._jump),
        )

    def run(self) -> "CoreFaultSchedule":
        """Runs all rounds, ends the faults and checks that the core recovers.

        Raises:
            Broken: At the first step that breaks a rule.
            AssertionError: The core did not bootstrap.
        """
        world = self.world
        if not world.until(world.bootstrapped, seconds(10)):
            raise AssertionError("the fleet was not founded")
        world.add_caller("r0", list(world.names))
        world.add_caller("r1", list(reversed(world.names)))
        for number in range(self.rounds):
            caller = world.chance.choice(["r0", "r1"])
            self.tokens.append(world.ask(caller, EvacuateZone(f"z{number % 7}", is_evacuated=True)))
            picked = world.chance.random()
            next((fault for limit, fault in self.faults if picked < limit), lambda: None)()
            world.run(world.chance.randrange(300_000))
        world.settle(6)
        return self

    def unanswered(self):
        """Tokens of the operations that got no reply."""
        return [token for token in self.tokens if token not in self.world.replies]

    def digests(self):
        """The different (slot, digest of the tables) of the running stores."""
        return {
            (node_state.tables.slot, node_state.tables.digest())
            for _, node_state in self.world.node_states()
        }

    def _up(self):
        return [name for name in self.world.names if self.world.seats[name].node is not None]

    def _kill(self):
        if len(self._up()) > len(self.world.names) // 2 + 1:
            self.world.crash(self.world.chance.choice(self._up()))

    def _start_all(self):
        for name in self.world.names:
            if self.world.seats[name].node is None:
                self.world.start(name)

    def _cut(self):
        self.world.heal()
        side = set(self.world.chance.sample(self.world.names, 2))
        self.world.cut(sorted(side), sorted(set(self.world.seats) - side))

    def _freeze(self):
        self.world.freeze(
            self.world.chance.choice(self.world.names), self.world.chance.randrange(2_000_000)
        )

    def _tear(self):
        self.world.seats[self.world.chance.choice(self.world.names)].crash_on_write = 0.05

    def _mend(self):
        self.world.seats[self.world.chance.choice(self.world.names)].crash_on_write = 0.0

    def _herd(self):
        for name in self._up():
            self.world.crash(name)
        self._start_all()

    def _jump(self):
        self.world.seats[
            self.world.chance.choice(["r0", "r1"])
        ].wall_skew = self.world.chance.randrange(-(10**12), 10**12)


class SeatFaultSchedule(CoreFaultSchedule):
    """A core of three bootstrap members, alone or with learners that become voters.

    Disks are lost as well, one at a time: only while every voter has its own disk and all know of
    the last replacement.
    """

    rounds = 2 * ROUNDS

    def __init__(self, seed: int, zones=("a", "b", "c"), max_voters: int = 3, **world):
        super().__init__(
            seed,
            zones=zones,
            members=3,
            rights=VoterPolicy(bootstrap_from_seeds=True, max_voters=max_voters),
            **world,
        )
        self.epoch = 0  # the newest that any store has reached
        self.newest_voters: tuple[Member, ...] = ()  # of that epoch
        self.swapped = 0  # the epoch that the last replacement began
        self.wiped = 0
        self.world.checks.append(self._look)
        self.faults = (*tuple(self.faults), (0.64, self._wipe))

    def voters(self) -> int:
        """The number of voters in the newest epoch that any store has reached."""
        return len(self.newest_voters)

    def unseated(self) -> list[str]:
        """Names of voters that lost their disk and have not been replaced."""
        return [
            voter.name
            for voter in self.newest_voters
            if not _has_own_disk(self.world.seats[voter.address], voter)
        ]

    def _look(self, world, seat, event, plan):
        tables = getattr(getattr(seat.node, "node_state", None), "tables", None)
        if tables is not None and tables.epoch > self.epoch:
            if len(tables.voters) <= len(self.newest_voters):
                self.swapped = tables.epoch
            self.epoch, self.newest_voters = tables.epoch, tables.voters

    def _wipe(self):
        """Loses one voter's disk, right after something was accepted if anything was.

        Another voter's process crashes at the same moment.
        """
        world = self.world
        seats = [world.seats[voter.address] for voter in self.newest_voters]
        there = all(
            seat.node is not None
            and _has_own_disk(seat, voter)
            and seat.node.node_state.tables.epoch >= self.swapped
            for seat, voter in zip(seats, self.newest_voters, strict=True)
        )
        if not there:
            return
        before = len(world.rules.accepted)
        world.until(lambda: len(world.rules.accepted) > before, seconds(0.3))
        if any(seat.node is None for seat in seats):
            return
        victim, other = world.chance.sample([seat.address for seat in seats], 2)
        world.crash(victim, lose_disk=True)
        world.crash(other)
        self.wiped += 1
        for name in (victim, other):
            world.at(world.chance.randrange(2_000_000), self._stand_up, name)

    def _stand_up(self, name):
        if self.world.seats[name].node is None:
            self.world.start(name)


def _has_own_disk(seat: Seat, voter: Member) -> bool:
    """Whether the machine's disk holds the identity that votes, not one made since."""
    return seat.disk.records[0]["identity"] == voter.identity
