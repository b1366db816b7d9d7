"""The core under seeded fault schedules; each protection, switched off, must be caught."""

import unittest
from dataclasses import dataclass
from unittest.mock import patch

from willowpost.consensus.thresholds import Thresholds
from willowpost.sim.fault_schedules import CoreFaultSchedule
from willowpost.sim.rules import Broken


@dataclass(frozen=True, slots=True)
class MinorityDecides(Thresholds):
    @property
    def majority(self):
        return 2

    @property
    def quorum(self):
        return 2

    @property
    def deciding_votes(self):
        return 1


def first_broken(seeds, **world):
    for seed in seeds:
        try:
            CoreFaultSchedule(seed, **world).run()
        except Broken as broken:
            return seed, str(broken)
        except AssertionError:
            continue
    return None


class CoreFaultSchedules(unittest.TestCase):
    def test_rules_hold_over_fixed_seeds(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                fault_schedule = CoreFaultSchedule(seed).run()
                self.assertEqual([], fault_schedule.unanswered())
                self.assertEqual(1, len(fault_schedule.digests()))

    def test_a_broken_threshold_is_caught(self):
        self.assertIsNotNone(first_broken(range(30), thresholds=MinorityDecides))

    def test_sending_before_the_sync_is_caught(self):
        _seed, text = first_broken(range(60), unsafe_send=True)
        self.assertRegex(text, "unsaid|disks|elsewhere")

    def test_acknowledging_too_early_is_caught(self):
        with patch("willowpost.consensus.replica.barrier.safe_slot", lambda self: 10**9):
            _, text = first_broken(range(10))
        self.assertIn("disks holding it", text)


if __name__ == "__main__":
    unittest.main()
