"""A core of three that grows to five, with a loss at each step of it."""

import unittest
from unittest.mock import patch

from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.consensus.replica.voting import Voting
from willowpost.sim.core import CoreWorld
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds
from willowpost.state.operations import EvacuateZone
from willowpost.store.voter_repair import VoterRepair

GROWING_ZONES = ("a", "b", "c", "a", "b")
RIGHTS = VoterPolicy(bootstrap_from_seeds=True, max_voters=5)


def epochs(world):
    return [node_state.tables.epoch for _, node_state in world.node_states()]


MOMENTS = {
    "a first one offered itself": lambda world: any(
        daemon.voter_offer is not None
        for _, node_state in world.node_states()
        for daemon in node_state.tables.daemons.values()
    ),
    "one has decided it": lambda world: epochs(world).count(2) >= 1,
    "two have": lambda world: epochs(world).count(2) >= 2,
    "one has opened the new epoch": lambda world: any(
        node_state.passed_epoch >= 2 for _, node_state in world.node_states()
    ),
    "all have": lambda world: epochs(world).count(2) == 5,
}


class Struck:
    """A core of three that grows by two; at a moment of it something happens.

    And what is asked then must be answered.
    """

    def __init__(self, seed, moment, fault, victims):
        self.world = world = CoreWorld(seed, zones=GROWING_ZONES, members=3, rights=RIGHTS)
        self.due = (MOMENTS[moment], fault, victims)
        self.struck = False
        world.checks.append(self.look)
        world.add_caller("r0", list(world.names))

    def look(self, world, seat, event, plan):
        moment, fault, victims = self.due
        if not self.struck and moment(world):
            self.struck = True
            for victim in victims:
                getattr(self, fault)(victim)

    def dark(self, victim):
        self.world.at(0, self.world.crash, victim)

    def wiped(self, victim):
        self.world.at(0, self.world.crash, victim, True)
        self.world.at(seconds(0.7), self.world.start, victim)

    def cut(self, victim):
        self.world.cut([victim], [name for name in self.world.seats if name != victim])

    def run(self):
        world = self.world
        if not world.until(lambda: self.struck, seconds(10)):
            raise AssertionError("the moment never came")
        tokens = []
        for _ in range(8):
            tokens.append(world.ask("r0", EvacuateZone("z", is_evacuated=True)))
            world.run(seconds(0.5))
        world.run(seconds(1.5))
        answered = [token for token in tokens if token in world.replies]
        world.settle(8)
        return len(answered), sorted(
            {len(node_state.tables.voters) for _, node_state in world.node_states()}
        )


class Growth(unittest.TestCase):
    def strike(self, moment, victims):
        for number, fault in enumerate(("dark", "wiped", "cut")):
            with self.subTest(moment=moment, fault=fault, victims=victims):
                self.assertEqual(
                    (8, [5]), Struck(number + 10 * int(victims[0][1]), moment, fault, victims).run()
                )

    def test_one_loss_at_any_moment_of_it_stops_nothing(self):
        for moment in MOMENTS:
            for victim in ("s0", "s1", "s2", "s3", "s4"):
                self.strike(moment, [victim])

    def test_once_grown_two_failure_verdicts_stop_nothing(self):
        for victims in (["s0", "s1"], ["s0", "s4"], ["s3", "s4"]):
            self.strike("all have", victims)

    def test_three_cannot_bear_two(self):
        """The check above can fail: without growth the same two losses stop the core."""
        with patch.object(VoterRepair, "_may_add_voters", lambda self: False):
            world = CoreWorld(1, zones=GROWING_ZONES, members=3, rights=RIGHTS)
            world.add_caller("r0", list(world.names))
            world.run(seconds(4))
            for victim in ("s0", "s1"):
                world.crash(victim)
            token = world.ask("r0", EvacuateZone("z", is_evacuated=True))
            world.run(seconds(4))
            self.assertNotIn(token, world.replies)

    def test_nothing_grows_unless_set(self):
        world = CoreWorld(
            1, zones=GROWING_ZONES, members=3, rights=VoterPolicy(bootstrap_from_seeds=True)
        )
        world.run(seconds(8))
        self.assertEqual(
            {3}, {len(node_state.tables.voters) for _, node_state in world.node_states()}
        )

    def test_a_learner_that_is_behind_does_not_offer_itself(self):
        world = CoreWorld(1, zones=GROWING_ZONES, members=3, rights=RIGHTS)
        # it is told by one voter, and cannot know whether that is all
        world.cut(["s4"], ["s1", "s2"])
        world.run(seconds(6))
        self.assertEqual(
            {3}, {len(node_state.tables.voters) for _, node_state in world.node_states()}
        )
        world.heal()
        world.run(seconds(6))
        self.assertEqual(
            {5}, {len(node_state.tables.voters) for _, node_state in world.node_states()}
        )


class UnheardGrowth:
    """The moment one founder has decided the growth, the core splits.

    It and the newcomers are enough of five to accept; the two bootstrap members that have not
    decided it are enough of three to be read. Edges, shields and registries hear only them.
    """

    def __init__(self, seed):
        self.world = world = FleetWorld(
            seed, members=3, rights=VoterPolicy(bootstrap_from_seeds=True)
        )
        world.open()
        world.checks.append(self.look)
        self.knows = None
        world.rights = RIGHTS
        for name in ("s3", "s4"):
            world.crash(name)
            world.start(name)

    def look(self, world, seat, event, plan):
        if (
            self.knows is None
            and getattr(seat.node, "node_state", None) is not None
            and seat.node.node_state.tables.epoch == 2
        ):
            self.knows = seat.address
            ignorant, knowing = (
                [name for name in ("s0", "s1", "s2") if name != self.knows],
                [self.knows, "s3", "s4"],
            )
            world.cut([ignorant[0]], [ignorant[1]])
            ignorant += [f"r{name[1]}" for name in ignorant] + world.edges + world.shields
            world.cut(ignorant, [*knowing, *(f"r{name[1]}" for name in knowing)])

    def run(self):
        if not self.world.until(lambda: self.knows, seconds(12)):
            raise AssertionError("it did not grow")
        if self.knows in ("s3", "s4"):
            return None
        self.world.configuration["settings"]["deadline_ms"] = 1900
        self.world.put_configuration(int(self.knows[1]))
        self.world.run(seconds(6))
        return self.world


class Barrier(unittest.TestCase):
    def test_nothing_is_accepted_behind_a_growth_that_readers_may_not_hear_of(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                world = UnheardGrowth(seed).run()
                self.assertEqual(1, world.version)
                world.settle()
                self.assertEqual(2, world.version)

    def test_without_the_barrier_a_reader_misses_what_was_accepted(self):
        with (
            patch.object(Voting, "_open_slot", lambda self, plan: True),
            self.assertRaisesRegex(Broken, "calls itself whole"),
        ):
            for seed in range(5):
                UnheardGrowth(seed).run()


if __name__ == "__main__":
    unittest.main()
