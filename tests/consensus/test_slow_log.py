"""A log that is slower than what is submitted decides only what may still be needed."""

import unittest

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import SubmitOperations, WithdrawSubmission
from willowpost.consensus.pending_queue import COMMAND_LIFETIME_US
from willowpost.sim.disk import SYNC_SPAN
from willowpost.sim.scripted_core import ScriptedCore
from willowpost.sim.world import seconds
from willowpost.state.operations import EvacuateZone

SYNC_US = 150 * MILLISECOND  # a slot takes about three
SUBMISSION_INTERVAL_US = 200 * MILLISECOND
CALLER_WAITS_US = 850 * MILLISECOND
OVERLOAD_SECONDS = 30


class SlowLog(unittest.TestCase):
    def setUp(self):
        self.world = ScriptedCore()
        self.world.founded()
        for name in self.world.names:
            self.world.seats[name].disk.slowness = SYNC_US / SYNC_SPAN

    def submit(self, number):
        """An order whose caller gives up in time; a repeated one is another operation."""
        order = EvacuateZone(f"z{number}", is_evacuated=True)
        self.world.give("r0", SubmitOperations(number, (order,)))
        self.world.at(CALLER_WAITS_US, self.world.give, "r0", WithdrawSubmission(number))

    def overload(self):
        for number in range(OVERLOAD_SECONDS * SECOND // SUBMISSION_INTERVAL_US):
            self.submit(f"late-{number}")
            self.world.run(SUBMISSION_INTERVAL_US)

    def test_it_is_current_soon_after_it_was_given_more_than_it_could_decide(self):
        """Guards against a log that falls behind for good (docs/incidents/log-falls-behind.md)."""
        before = self.world.state("s0").tables.slot
        self.overload()
        decided = self.world.state("s0").tables.slot - before
        self.assertLess(decided, OVERLOAD_SECONDS * SECOND // SUBMISSION_INTERVAL_US * 3 // 4)
        statistics = self.world.state("s0").statistics
        self.assertGreater(statistics.expired, 0)
        self.world.run(CALLER_WAITS_US + COMMAND_LIFETIME_US + SECOND)
        self.assertEqual(0, len(self.world.state("s0").pending_commands))
        self.assertTrue(self.world.accept("b"))
        # the bound of 10 s holds all; the one of 5 s all but a slot's time
        self.assertEqual(0, statistics.decided_ages.counts[-1])

    def test_what_its_submitter_still_needs_is_decided_however_long_it_waits(self):
        """A store that lost sight of its voters for longer than a command lives."""
        self.world.cut(["s0", "r0"], ["s1", "s2", "s3"])
        token = self.world.ask("r0", EvacuateZone("b", is_evacuated=True))
        self.world.run(2 * COMMAND_LIFETIME_US)
        self.assertNotIn(token, self.world.replies)
        self.world.heal()
        self.assertTrue(self.world.until(lambda: token in self.world.replies, seconds(10)))


if __name__ == "__main__":
    unittest.main()
