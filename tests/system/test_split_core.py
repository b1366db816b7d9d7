"""A core whose voters cannot all talk to each other: what serves, what is read back.

And the replacement nobody on one side has heard of.
"""

import itertools
import unittest
from unittest.mock import patch

from willowpost.consensus.replica.voting import Voting
from willowpost.node.quorum_read import QuorumRead
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds

STORES = ["s0", "s1", "s2", "s3", "s4"]


def parts(*sides):
    """Stores of different sides cannot talk to each other; everybody else talks to all."""
    return {
        pair
        for one, other in itertools.permutations(sides, 2)
        for pair in itertools.product(one, other)
    }


RING = {
    (one, other)
    for one, other in itertools.permutations(STORES, 2)
    if (int(one[1]) - int(other[1])) % 5 not in (1, 4)
}
# shape: (cuts among the stores, do configurations still go through, do proxies serve)
SHAPES = {
    "3-2": (parts(STORES[:3], STORES[3:]), True, True),
    "2-2-1": (parts(STORES[:2], STORES[2:4], STORES[4:]), False, True),
    "1-1-1-1-1": (parts(*([name] for name in STORES)), False, True),
    "ring": (RING, True, True),
    "one-route": (set(itertools.product(STORES[:3], STORES[3:])), True, True),
}


def opened(seed=5):
    world = FleetWorld(seed)
    world.open()
    return world


class Shapes(unittest.TestCase):
    def run_shape(self, cuts):
        world = opened()
        world.cuts |= cuts
        world.run(seconds(3))
        for registry in range(3):
            world.configuration["settings"]["deadline_ms"] = 1900 + registry
            world.put_configuration(registry)
        world.run(seconds(6))
        served = (
            len([1 for moment, _ in world.traffic.served if moment > world.time - seconds(3)])
            > 2 * world.rate
        )
        return world, world.version > 1, served

    def test_each_shape_keeps_every_rule_and_serves_as_the_table_says(self):
        for name, (cuts, accepts, serves) in SHAPES.items():
            with self.subTest(shape=name):
                world, accepted, served = self.run_shape(cuts)
                self.assertEqual((accepts, serves), (accepted, served))
                world.settle()

    def test_without_the_quorum_read_a_shattered_core_serves_nobody(self):
        with patch.object(QuorumRead, "_is_stale", lambda self, now: False):
            self.assertEqual((False, False), self.run_shape(SHAPES["2-2-1"][0])[1:])

    def test_cut_off_from_all_but_two_voters_nobody_serves(self):
        world = opened()
        world.cut(STORES[:3], [name for name in world.seats if name not in STORES])
        world.cuts |= SHAPES["1-1-1-1-1"][0]
        world.run(seconds(4))
        self.assertEqual([], world.sound_edges())
        world.settle()


class UnheardReplaceVoter:
    """s4 is cut off and held lost, and an empty machine takes its seat.

    The moment one voter has decided that, the core splits: it, another and the newcomer are enough
    to accept; the two that have not decided, and s4, are enough to be read.

    Those three do not hear each other either, else they would finish the slot. Edges, shields and a
    registry hear only them.
    """

    def __init__(self, seed):
        self.world = world = opened(seed)
        world.checks.append(self.look)
        self.knows = None
        world.cut(["s4"], [name for name in world.seats if name != "s4"])
        world.run(seconds(3))
        world.zones["s9"], world.names = "a", [*world.names, "s9"]
        world.add_store("s9", "s9", "a")

    def look(self, world, seat, event, plan):
        if (
            self.knows is None
            and getattr(seat.node, "node_state", None) is not None
            and seat.node.node_state.tables.epoch == 2
        ):
            self.knows, helper, *rest = [
                seat.address,
                *(name for name in STORES[:4] if name != seat.address),
            ]
            ignorant, knowing = [*rest, "s4"], [self.knows, helper, "s9"]
            world.heal()
            world.cuts |= parts(*([name] for name in ignorant))
            ignorant += [f"r{name[1]}" for name in ignorant] + world.edges + world.shields
            world.cut(ignorant, [*knowing, *(f"r{name[1]}" for name in knowing[:2])])

    def run(self):
        self.world.until(lambda: self.knows, seconds(12))
        self.world.configuration["settings"]["deadline_ms"] = 1900
        self.world.put_configuration(int(self.knows[1]))
        self.world.run(seconds(6))
        return self.world


class Barrier(unittest.TestCase):
    def test_nothing_is_accepted_behind_a_replace_voter_that_readers_may_not_hear_of(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                world = UnheardReplaceVoter(seed).run()
                self.assertEqual(1, world.version)
                world.settle()
                self.assertEqual(2, world.version)

    def test_without_the_barrier_a_reader_misses_what_was_accepted(self):
        with (
            patch.object(Voting, "_open_slot", lambda self, plan: True),
            self.assertRaisesRegex(Broken, "calls itself whole"),
        ):
            for seed in range(6):
                UnheardReplaceVoter(seed).run()


if __name__ == "__main__":
    unittest.main()
