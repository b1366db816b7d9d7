"""Replaced core machines and the next loss right after `catch_up`, over seeds."""

import unittest
from unittest.mock import patch

from willowpost.sim.replacement_faults import CYCLES, ReplacementFaultSchedule
from willowpost.sim.rules import Broken
from willowpost.store.voter_repair import VoterRepair

# in some the core stops before disks are lost by more than it bears, in the others after
STOPPING_SEEDS = (1, 5, 10, 13, 14)


class Replacements(unittest.TestCase):
    def holds(self, seeds, voters):
        planned = 0
        for seed in seeds:
            with self.subTest(seed=seed, voters=voters):
                schedule = ReplacementFaultSchedule(seed, voters).run()
                planned += schedule.planned
        self.assertGreater(planned, 0)
        self.assertLess(planned, CYCLES * len(seeds))

    def test_three_voters_bear_the_next_loss(self):
        self.holds(range(4), 3)

    def test_five_voters_bear_the_next_two(self):
        self.holds(range(2), 5)

    def test_without_replacements_the_next_loss_stops_the_core(self):
        """Or takes what was accepted with it, where disks were lost by more than the core bears."""
        problems = []
        for seed in STOPPING_SEEDS:
            with (
                self.subTest(seed=seed),
                patch.object(VoterRepair, "_replaceable_voter", lambda self: None),
                self.assertRaisesRegex(Broken, "never accepted|accepted commands lost") as broken,
            ):
                ReplacementFaultSchedule(seed).run()
            problems.append(str(broken.exception))
        self.assertTrue(any("never accepted" in problem for problem in problems), problems)


if __name__ == "__main__":
    unittest.main()
