"""Three bootstrap members: fault schedules with wiped disks, alone and while they grow to five."""

import unittest
from dataclasses import dataclass
from unittest.mock import patch

from willowpost.consensus.thresholds import Thresholds
from willowpost.sim.fault_schedules import SeatFaultSchedule
from willowpost.sim.rules import Broken

ALONE = {"zones": ("a", "b", "c"), "max_voters": 3}
GROWING = {"zones": ("a", "b", "c", "a", "b"), "max_voters": 5}


@dataclass(frozen=True, slots=True)
class EachAlone(Thresholds):
    @property
    def quorum(self):
        return 1

    @property
    def majority(self):
        return 1

    @property
    def deciding_votes(self):
        return 1


@dataclass(frozen=True, slots=True)
class OneVoteDecides(Thresholds):
    @property
    def deciding_votes(self):
        return 1


def first_broken(seeds, **world):
    for seed in seeds:
        try:
            SeatFaultSchedule(seed, **world).run()
        except Broken as broken:
            return str(broken)
        except AssertionError:
            continue
    return None


class FaultSchedules(unittest.TestCase):
    def holds(self, seeds, shape):
        wiped = 0
        for seed in seeds:
            with self.subTest(seed=seed):
                fault_schedule = SeatFaultSchedule(seed, **shape).run()
                wiped += fault_schedule.wiped
                self.assertEqual(([], []), (fault_schedule.unanswered(), fault_schedule.unseated()))
                self.assertEqual(
                    (1, shape["max_voters"]),
                    (len(fault_schedule.digests()), fault_schedule.voters()),
                )
        self.assertGreater(wiped, len(seeds) // 2)

    def test_three_alone(self):
        self.holds(range(24), ALONE)

    def test_three_that_grow(self):
        self.holds(range(12), GROWING)

    def test_a_broken_threshold_is_caught(self):
        for thresholds in (EachAlone, OneVoteDecides):
            for shape in (ALONE, GROWING):
                with self.subTest(thresholds=thresholds.__name__, shape=shape):
                    self.assertIsNotNone(first_broken(range(20), thresholds=thresholds, **shape))

    def test_acknowledging_too_early_is_caught(self):
        with patch("willowpost.consensus.replica.barrier.safe_slot", lambda self: 10**9):
            self.assertIn("disks holding it", first_broken(range(10), **ALONE))


if __name__ == "__main__":
    unittest.main()
