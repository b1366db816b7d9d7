"""Seeded schedules of replaced core machines, each with a second loss as early as is allowed.

A machine counts as lost until CATCH_UP after it stood up; right after that the next may go.
"""

from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.sim.core import CoreWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import Weather, seconds
from willowpost.state.operations import EvacuateZone

CYCLES = 4
CATCH_UP = seconds(4)
ORDER_EVERY = seconds(0.15)
WITHIN_GRACE = seconds(6)


class _SeededCore(CoreWorld):
    """A core whose seeds are its bootstrap members, and later whoever is there in their place."""

    def seeds_of_stores(self):
        return sorted(self.names)[: self.members]


class ReplacementFaultSchedule:
    """Replaces voters' machines one after the other.

    Each cycle replaces one voter's machine by an empty one at a new address. A planned replacement
    starts the new machine first, then sends SIGTERM to the old one, which is removed once it has
    ended. An unplanned one kills the old process with its disk, then starts the new machine.
    CATCH_UP later as many voters as may be lost lose their disks at once and come back empty at
    their own addresses.
    """

    def __init__(self, seed: int, voters: int = 3):
        zones = tuple("abcde"[:voters])
        self.world = _SeededCore(
            seed,
            Weather(drop=0.03, twice=0.03, spread=4000),
            zones=zones,
            members=voters,
            rights=VoterPolicy(bootstrap_from_seeds=True, max_voters=voters),
        )
        self.size = voters
        self.tokens: list[int] = []
        self.planned = 0
        self.late_ends = 0  # planned ends that took longer than the grace

    def run(self) -> "ReplacementFaultSchedule":
        """Plays all cycles, lets the core come to rest, and judges."""
        world = self.world
        if not world.until(world.bootstrapped, seconds(10)):
            raise AssertionError("the fleet was not founded")
        world.add_caller("r0", [])
        world.seats["r0"].node.command_client.store_addresses = lambda: list(world.names)
        world.run(seconds(2))
        for cycle in range(CYCLES):
            self._replace_machine(cycle)
            self._pass_time(CATCH_UP)
            self._lose_disks()
            self._pass_time(CATCH_UP)
        world.settle(6)
        self._judge()
        return self

    def _judge(self) -> None:
        unanswered = self.unanswered()
        if unanswered:
            raise Broken(f"orders were never accepted: {len(unanswered)} of {len(self.tokens)}")
        if not self.seats_filled():
            raise Broken("a voter's seat was not taken")
        if self.late_ends:
            raise Broken(f"planned ends longer than the grace: {self.late_ends}")

    def unanswered(self) -> list[int]:
        """Orders that were never accepted."""
        return [token for token in self.tokens if token not in self.world.replies]

    def seats_filled(self) -> bool:
        """Whether every voter of every store's tables is a live store with its own disk."""
        live = {state.member.identity for _, state in self.world.node_states()}
        return all(
            state.tables.voter_identities() <= live and len(state.tables.voters) == self.size
            for _, state in self.world.node_states()
        )

    def _pass_time(self, span: int) -> None:
        """Goes on giving orders meanwhile."""
        end = self.world.time + span
        while self.world.time < end:
            self._order()
            self.world.run(ORDER_EVERY)

    def _order(self):
        zone = f"z{len(self.tokens) % 7}"
        self.tokens.append(self.world.ask("r0", EvacuateZone(zone, is_evacuated=True)))

    def _voters(self) -> list[str]:
        node_states = [node_state for _, node_state in self.world.node_states()]
        newest = max(node_states, key=lambda node_state: node_state.tables.slot)
        return [voter.address for voter in newest.tables.voters]

    def _replace_machine(self, cycle):
        world = self.world
        old, new = world.chance.choice(self._voters()), f"n{cycle}"
        if old not in world.names:
            return  # taken away before, and no store has its seat: only without replacements
        self._order()
        if world.chance.random() < 0.6:
            self._stand_up(new, world.zones[old])
            self._pass_time(world.chance.randrange(seconds(2)))
            self._terminate(old)
        else:
            self._take_away(old)
            self._pass_time(world.chance.randrange(seconds(1)))
            self._stand_up(new, world.zones[old])

    def _stand_up(self, name, zone):
        world = self.world
        world.zones[name] = zone
        world.names = [*world.names, name]
        world.add_store(name, name, zone)

    def _terminate(self, name):
        self.planned += 1
        leaver = self.world.seats[name].node.shutdown
        self.world.give(name, ShutdownRequested())
        end = self.world.time + WITHIN_GRACE
        while not leaver.is_stopped and self.world.time < end:
            self._order()
            self.world.until(lambda: leaver.is_stopped, ORDER_EVERY)
        self.late_ends += not leaver.is_stopped
        self._take_away(name)

    def _take_away(self, name):
        self.world.crash(name, lose_disk=True)
        self.world.seats[name].retired = True
        self.world.names = [other for other in self.world.names if other != name]

    def _lose_disks(self):
        """Right after an order was accepted."""
        world, accepted = self.world, len(self.world.rules.accepted)
        self._order()
        world.until(lambda: len(world.rules.accepted) > accepted, seconds(1))
        victims = world.chance.sample(sorted(self._voters()), (self.size - 1) // 2)
        for victim in victims:
            world.crash(victim, lose_disk=True)
        for victim in victims:
            world.at(world.chance.randrange(seconds(1)), world.start, victim)
