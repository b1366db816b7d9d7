"""Who may found a fleet, and how a store finds its fleet again."""

import unittest
from unittest.mock import patch

from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds

GROWING_ZONES = ("a", "b", "c", "a", "b")


def epochs(world):
    return [node_state.tables.epoch for _, node_state in world.node_states()]


class Members(unittest.TestCase):
    def test_an_empty_fleet_that_may_not_found_never_does(self):
        for rights in (
            VoterPolicy(may_bootstrap=False),
            VoterPolicy(may_bootstrap=False, bootstrap_from_seeds=True, max_voters=5),
        ):
            world = CoreWorld(3, zones=GROWING_ZONES, members=3, rights=rights)
            world.run(seconds(20))
            self.assertEqual({0}, set(epochs(world)))
            self.assertFalse(
                [
                    node_state
                    for _, node_state in world.node_states()
                    if node_state.bootstrap_promise
                ]
            )

    def test_two_that_may_and_one_that_may_not_do_not_found(self):
        world = CoreWorld(3, zones=("a", "b", "c"), members=3)
        world.rights = VoterPolicy(may_bootstrap=False)
        world.crash("s2", lose_disk=True)
        world.start("s2")
        world.run(seconds(10))
        self.assertEqual({0}, set(epochs(world)))
        world.rights = VoterPolicy()
        world.crash("s2", lose_disk=True)
        world.start("s2")
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))

    def test_only_seeds_found_whoever_else_is_there_first(self):
        for seed in range(6):
            world = CoreWorld(
                seed, zones=GROWING_ZONES, members=3, rights=VoterPolicy(bootstrap_from_seeds=True)
            )
            world.crash("s0")
            world.run(seconds(3))
            self.assertEqual({0}, set(epochs(world)))
            world.start("s0")
            self.assertTrue(world.until(world.bootstrapped, seconds(5)))
            self.assertEqual(
                [["s0", "s1", "s2"]] * 5,
                [
                    sorted(voter.name for voter in node_state.tables.voters)
                    for _, node_state in world.node_states()
                ],
            )

    def test_more_seeds_than_members_found_one_fleet(self):
        for seed in range(6):
            world = CoreWorld(
                seed, zones=("a", "b"), members=1, rights=VoterPolicy(bootstrap_from_seeds=True)
            )
            world.cut(["s0"], ["s1"])
            world.run(seconds(3))
            self.assertEqual([1, 0], epochs(world))
            world.heal()
            world.run(seconds(3))
            self.assertEqual(
                [["s0"]] * 2,
                [
                    [voter.name for voter in node_state.tables.voters]
                    for _, node_state in world.node_states()
                ],
            )

    def test_members_that_restart_before_they_promised_go_on_bootstrap(self):
        world = CoreWorld(
            3, zones=("a", "b", "c"), members=3, rights=VoterPolicy(bootstrap_from_seeds=True)
        )
        for name in world.names:
            world.crash(name)
        for name in world.names:
            world.start(name)  # a second life: only the disk says that it may
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))

    def test_a_store_whose_voters_are_all_gone_finds_the_new_ones_by_its_seeds(self):
        world = CoreWorld(
            4,
            zones=("a", "b", "c"),
            members=3,
            rights=VoterPolicy(bootstrap_from_seeds=True, max_voters=3),
        )
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))
        world.crash("s0")
        # three newcomers take the seats, one by one, at other addresses
        for number, zone in enumerate("abc"):
            name = f"n{number}"
            world.zones[name], world.names = zone, [*world.names, name]
            world.add_store(name, name, zone)
            world.run(seconds(1))  # while one that it knows of is there
            if number:
                world.seats[f"s{number}"].retired = True
                world.crash(f"s{number}")
            self.assertTrue(
                world.until(
                    lambda: any(
                        voter.name == name
                        for _, node_state in world.node_states()
                        for voter in node_state.tables.voters
                    ),
                    seconds(8),
                ),
                name,
            )
            world.run(seconds(1))
        with patch.object(CoreWorld, "seeds_of_stores", lambda self: ["n0", "n1", "n2"]):
            world.start("s0")
        world.run(seconds(5))
        slots = {seat.address: node_state.tables.slot for seat, node_state in world.node_states()}
        self.assertEqual(1, len(set(slots.values())), slots)


if __name__ == "__main__":
    unittest.main()
