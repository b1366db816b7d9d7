"""Planned restarts and releases in the rush: nothing under way is dropped.

And refusals stay a handful.
"""

import unittest
from unittest.mock import patch

from tests.support.draining_origins import make_with_draining
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds

RATE = 250
HANDFUL = 5


def rush(seed=6):
    world = FleetWorld(seed, rate=RATE)
    for name in world.origins:
        # each answer takes 400 ms, so much is under way at any moment
        world.seats[name].node.mode = "tired"
    world.open()
    world.run(seconds(6))
    world.traffic.refusals.clear()
    return world


def unanswered(world):
    """Asked longer ago than any deadline, and no answer came."""
    return [
        number
        for number, asked in world.traffic.asked.items()
        if asked[0] < world.time - seconds(4)
    ]


class PlannedRestarts(unittest.TestCase):
    def restart_all(self, world, names):
        for number, name in enumerate(names):
            # an operator's call to another daemon of the machine is in flight just then
            before = world.version
            world.configuration["settings"]["deadline_ms"] = 2000 + number
            world.put_configuration(int(name[1:]) if name.startswith("r") else number % 5)
            world.restart(name)
            world.run(seconds(9))
            self.assertGreater(world.version, before, name)
        world.run(seconds(5))

    def test_every_kind_of_daemon_in_turn(self):
        world = rush()
        self.restart_all(world, ["e0", "e3", "h2", "h3", "h4", "r0", "r1", "s0", "s1"])
        self.assertEqual(([], []), (world.traffic.dropped, unanswered(world)))
        self.assertLessEqual(len(world.traffic.refusals), HANDFUL, list(world.traffic.refusals)[:5])

    def test_without_the_drain_requests_in_flight_are_dropped(self):
        with (
            patch("willowpost.node.graceful_shutdown.DRAIN_TIMEOUT_US", 0),
            patch("willowpost.node.graceful_shutdown.FINISH_TIMEOUT_US", 0),
            patch("willowpost.node.graceful_shutdown.LEAVE_TIMEOUT_US", 0),
            patch("willowpost.node.graceful_shutdown.LAST_RESPONSES_US", 0),
        ):
            world = rush()
            self.restart_all(world, ["e0", "e1", "e2"])
        self.assertGreater(len(world.traffic.dropped) + len(unanswered(world)), 10)


class Releases(unittest.TestCase):
    def release(self, world):
        """Every application is replaced, one by one: says that it leaves, finishes.

        Comes back cold under a new life.
        """
        for name in [name for name in world.origins if name.startswith("apps")]:
            world.drain_origin(0, name)
            world.run(seconds(3))
            world.crash(name)
            world.start(name)
            world.run(seconds(6))

    def test_origins_replaced_one_by_one_refuse_a_handful(self):
        world = rush()
        self.release(world)
        self.assertEqual(([], []), (world.traffic.dropped, unanswered(world)))
        self.assertLessEqual(len(world.traffic.refusals), HANDFUL, list(world.traffic.refusals)[:5])

    def test_without_heed_of_the_drain_what_is_in_flight_is_lost(self):
        world = rush()
        with (
            patch.object(SnapshotMaker, "make", make_with_draining),
            self.assertRaises(AssertionError),
        ):
            self.release(world)
            self.assertLessEqual(len(world.traffic.refusals), HANDFUL)


if __name__ == "__main__":
    unittest.main()
