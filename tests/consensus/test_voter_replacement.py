"""Schedules of a replacement and of a planned leave with a second loss right after them.

A B C (s0 s1 s2) vote, D (s3) is an empty machine that has learned. Each protection is switched off
in turn, and what it protects is then lost.
"""

import unittest
from unittest.mock import patch

from willowpost.common.plan import Plan
from willowpost.consensus.replica import barrier
from willowpost.consensus.replica.barrier import quorum_index
from willowpost.consensus.replica.epoch_discovery import EpochDiscovery
from willowpost.consensus.replica.previous_voter import PreviousVoter
from willowpost.sim.scripted_core import ScriptedCore
from willowpost.sim.world import seconds
from willowpost.store.graceful_shutdown import StoreShutdown


def holds_previous_quorum(node_state):
    """The barrier as it was: n - f of the former voters, the one that was put out among them."""
    index = quorum_index(node_state.tables.previous_voter_identities(), node_state.synced_indexes)
    return index >= node_state.tables.epoch_first_slot()


class ReplacedWhileTheRestLags(unittest.TestCase):
    """Z is accepted on A and C; C is replaced by D while neither B nor D hears anything."""

    def setUp(self):
        self.world = world = ScriptedCore()
        self.assertTrue(world.founded())
        withheld = world.hold_back("s3", "replace_voter")
        self.assertTrue(world.hold_lost("s2"))
        self.assertTrue(world.until(lambda: world.asked_for("s3", "replace_voter"), seconds(4)))
        self.deaf = world.deafen("s1", "s3")
        world.run(seconds(0.2))
        self.assertTrue(world.accept("z"))
        self.assertEqual([False, False], [world.holds(name, "z") for name in ("s1", "s3")])
        world.blocked.remove(withheld)
        self.assertTrue(world.until_epoch("s0", 2))
        world.run(seconds(1))

    def test_the_epoch_opens_only_when_the_new_voters_hold_everything(self):
        world = self.world
        self.assertLess(world.state("s0").passed_epoch, 2)
        world.blocked.remove(self.deaf)
        self.assertTrue(world.until(lambda: world.state("s0").passed_epoch == 2, seconds(3)))
        world.take_away("s0", "s2")
        world.settle(4)
        self.assertEqual([True, True], [world.holds(name, "z") for name in ("s1", "s3")])
        world.add_caller("r1", ["s1", "s3"])
        self.assertTrue(world.accept("y", "r1"))

    def test_as_it_was_the_epoch_opens_and_the_next_loss_takes_what_was_accepted(self):
        world = self.world
        with patch.object(barrier, "is_synced_by_both_quorums", holds_previous_quorum):
            self.assertTrue(world.until(lambda: world.state("s0").passed_epoch == 2, seconds(1)))
            world.take_away("s0", "s2")
            world.heal()
            world.blocked.remove(self.deaf)
            world.run(seconds(4))
        self.assertEqual([False, False], [world.holds(name, "z") for name in ("s1", "s3")])


class Leaving(unittest.TestCase):
    """Z is accepted on A and C while B lags; C gets a SIGTERM and is taken away when it is gone."""

    def lagging(self, zones):
        self.world = world = ScriptedCore(zones=zones)
        self.assertTrue(world.founded())
        world.run(seconds(1))
        self.deaf = world.deafen("s1")
        self.assertTrue(world.accept("z"))
        self.assertFalse(world.holds("s1", "z"))
        return world

    def leave_then_lose(self, world):
        gone = world.terminate("s2", handover=seconds(4), sync=seconds(4))
        self.waited = not world.until(gone, seconds(0.5))
        if self.waited:
            world.blocked.remove(self.deaf)
        self.assertTrue(world.until(gone, seconds(5)))
        world.take_away("s2", "s0")
        world.blocked.clear()
        world.run(seconds(3))

    def test_a_store_without_successor_ends_once_others_hold_what_it_holds(self):
        world = self.lagging(("a", "b", "c"))
        self.leave_then_lose(world)
        self.assertTrue(self.waited)
        self.assertTrue(world.holds("s1", "z"))

    def test_a_store_that_just_stops_takes_the_second_copy_along(self):
        world = self.lagging(("a", "b", "c"))
        with patch.object(StoreShutdown, "_is_synced", lambda self: True):
            self.leave_then_lose(world)
        self.assertFalse(world.holds("s1", "z"))

    def test_with_a_learner_there_the_vote_is_handed_over_first(self):
        world = self.lagging(("a", "b", "c", "c"))
        self.leave_then_lose(world)
        self.assertEqual([True, True], [world.holds(name, "z") for name in ("s1", "s3")])
        self.assertEqual({"s0", "s1", "s3"}, world.voters("s1"))
        world.add_caller("r1", ["s1", "s3"])
        self.assertTrue(world.accept("y", "r1"))

    def test_without_requests_to_unknown_voters_the_one_that_lagged_stays_behind(self):
        world = self.lagging(("a", "b", "c", "c"))
        with patch.object(EpochDiscovery, "step", lambda self, event, now: Plan()):
            self.leave_then_lose(world)
        self.assertEqual({"s0", "s1", "s2"}, world.voters("s1"))


class Schedules(unittest.TestCase):
    """Losses in the middle of a replacement."""

    def core(self, zones=("a", "b", "c", "c"), **more):
        world = ScriptedCore(zones=zones, **more)
        self.assertTrue(world.founded())
        world.run(seconds(1))
        return world

    def seat_asked_for(self):
        """C is held lost though it is alive; D has asked for its seat, and nobody has heard it."""
        world = self.core()
        withheld = world.hold_back("s3", "replace_voter")
        self.assertTrue(world.hold_lost("s2"))
        self.assertTrue(world.until(lambda: world.asked_for("s3", "replace_voter"), seconds(4)))
        return world, withheld

    def test_nothing_is_voted_on_before_the_barrier_so_no_second_change_starts(self):
        world, withheld = self.seat_asked_for()
        deaf = world.deafen("s1", "s3")
        world.blocked.remove(withheld)
        self.assertTrue(world.until_epoch("s0", 2))
        self.assertFalse(world.accept("y"))
        self.assertEqual(2, world.epoch("s0"))
        world.blocked.remove(deaf)
        self.assertTrue(world.accept("x"))

    def test_a_replaced_voter_goes_on_reporting_its_synced_index(self):
        """B is down; A and C, which is put out alive, are the quorum of the former voters."""
        for switched_off in (False, True):
            with self.subTest(switched_off=switched_off):
                world, withheld = self.seat_asked_for()
                world.crash("s1")
                first = world.lose_first_index("s2")
                world.blocked.remove(withheld)
                with patch.object(
                    PreviousVoter,
                    "step",
                    (lambda self, event, now: Plan()) if switched_off else PreviousVoter.step,
                ):
                    self.assertTrue(world.until_epoch("s0", 2))
                    world.run(seconds(0.5))
                    world.blocked.remove(first)
                    self.assertEqual(not switched_off, world.accept("y"))

    def test_a_learner_that_is_lost_while_it_is_let_in(self):
        for seed in range(3):
            for lose_disk in (False, True):
                with self.subTest(seed=seed, lose_disk=lose_disk):
                    world = self.core(seed=seed)
                    world.crash("s2", lose_disk=True)
                    world.seats["s2"].retired = True
                    self.assertTrue(world.until(lambda: 2 in world.epochs(), seconds(8)))
                    world.crash("s3", lose_disk=lose_disk)
                    self.assertTrue(world.accept("y"))
                    world.start("s3")
                    self.assertTrue(
                        world.until(lambda: world.votes("s3") and world.settled("s0"), seconds(8))
                    )
                    world.take_away("s0")
                    world.add_caller("r1", ["s1", "s3"])
                    self.assertTrue(world.accept("x", "r1"))

    def test_a_change_is_finished_without_any_order_though_the_newcomer_is_lost(self):
        world = self.core()
        world.take_away("s2")
        self.assertTrue(world.until(lambda: 2 in world.epochs(), seconds(8)))
        world.crash("s3")
        self.assertTrue(world.until(lambda: world.settled("s0"), seconds(2)))

    def test_a_replaced_machine_that_comes_back_late_with_its_old_disk_only_learns(self):
        world = self.core()
        world.crash("s2")
        self.assertTrue(world.until_epoch("s0", 2))
        self.assertTrue(world.accept("y"))
        world.start("s2")
        world.run(seconds(3))
        self.assertTrue(world.holds("s2", "y"))
        self.assertFalse(world.votes("s2"))
        self.assertEqual({"s0", "s1", "s3"}, world.voters("s2"))
        # it counts for nothing: without A and B nothing is accepted, with A and D it is
        world.crash("s1")
        self.assertTrue(world.accept("x"))
        world.crash("s3")
        self.assertFalse(world.accept("w", span=1.0))

    def test_five_voters_with_two_lost(self):
        world = self.core(zones=("a", "b", "c", "d", "e", "d", "e"), members=5, max_voters=5)
        world.take_away("s3", "s4")
        self.assertTrue(world.accept("y"))
        filled = {"s0", "s1", "s2", "s5", "s6"}
        self.assertTrue(
            world.until(lambda: world.voters("s0") == filled and world.settled("s0"), seconds(12))
        )
        world.take_away("s0", "s1")
        world.add_caller("r1", ["s2", "s5", "s6"])
        self.assertTrue(world.accept("x", "r1"))
        self.assertTrue(world.holds("s5", "y"))

    def test_a_zone_that_held_two_and_loses_one(self):
        world = self.core(zones=("a", "a", "b", "b"))
        world.take_away("s0")
        self.assertTrue(world.until(lambda: world.voters("s1") == {"s1", "s2", "s3"}, seconds(8)))

    def test_a_draining_voter_that_is_killed_half_way(self):
        for lose_disk in (False, True):
            with self.subTest(lose_disk=lose_disk):
                world = self.core()
                withheld = world.hold_back("s3", "replace_voter")
                world.terminate("s2")
                self.assertTrue(
                    world.until(lambda: world.asked_for("s3", "replace_voter"), seconds(3))
                )
                world.crash("s2", lose_disk=lose_disk)
                world.blocked.remove(withheld)
                self.assertTrue(world.until_epoch("s0", 2))
                world.start("s2")
                self.assertTrue(world.accept("y"))
                world.run(seconds(3))
                self.assertEqual({"s0", "s1", "s3"}, world.voters("s2"))
                self.assertTrue(world.holds("s2", "y"))

    def test_a_draining_voter_that_is_killed_and_back_before_it_is_replaced_stays_a_voter(self):
        world = self.core()
        withheld = world.hold_back("s3", "replace_voter")
        world.terminate("s2")
        self.assertTrue(world.until(lambda: world.asked_for("s3", "replace_voter"), seconds(3)))
        world.crash("s2")
        world.start("s2")
        self.assertTrue(world.until(lambda: world.card_state("s0", "s2") == "up", seconds(2)))
        world.blocked.remove(withheld)
        world.run(seconds(3))
        self.assertEqual({1}, world.epochs())
        self.assertTrue(world.accept("y"))

    def test_a_restarted_voter_stays_a_voter_and_is_quick(self):
        world = self.core(zones=("a", "b", "c"))
        for name in ("s0", "s1", "s2"):
            gone = world.terminate(name)
            self.assertTrue(world.until(gone, seconds(0.3)))
            world.crash(name)
            world.start(name)
            world.run(seconds(2))
        self.assertEqual({1}, world.epochs())
        self.assertTrue(world.accept("y"))

    def test_without_a_quorum_a_restart_is_bounded(self):
        world = self.core(zones=("a", "b", "c"))
        world.crash("s0")
        self.assertTrue(world.until(world.terminate("s1"), seconds(0.6)))


if __name__ == "__main__":
    unittest.main()
