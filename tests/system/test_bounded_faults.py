"""Both deployments in their rush, hit by what they must bear.

Refusals of proper requests are counted, and stay a handful.
"""

import unittest
from unittest.mock import patch

from willowpost.sim.fleet.bounded_faults import BoundedFaultSchedule
from willowpost.sim.rules import Broken


def bounded(deployment, fault, seed=1):
    return BoundedFaultSchedule(seed, deployment, only=(fault,), rounds=1).run().faults[0]


class BoundedFaults(unittest.TestCase):
    def holds(self, deployment, fault):
        found = bounded(deployment, fault)
        self.assertGreater(found.asked, 5000)
        self.assertLessEqual(found.refused, found.handful)

    def test_invitations_core_machine_dark(self):
        self.holds("invitations", "core_machine_dark")

    def test_invitations_zone_cut(self):
        self.holds("invitations", "zone_cut")

    def test_invitations_owner_dies(self):
        self.holds("invitations", "owner_dies")

    def test_screening_zone_dark(self):
        self.holds("screening", "zone_dark")

    def test_screening_restart_in_turn(self):
        self.holds("screening", "restart_in_turn")

    def test_screening_release(self):
        self.holds("screening", "release")

    def test_without_a_base_share_an_owners_death_is_refused_in_numbers(self):
        with (
            patch("willowpost.proxy.admission.quota.BASE_QUOTA_FRACTION", 0.0),
            self.assertRaisesRegex(Broken, "owner_dies: [0-9]+ refused"),
        ):
            bounded("screening", "owner_dies")

    def test_a_morning_in_which_origins_and_callers_come_together(self):
        """All origins cold, nothing kept anywhere; the callers come over twelve seconds."""
        fault_schedule = BoundedFaultSchedule(1, "invitations", part=0.1)
        world = fault_schedule.world
        world.open()
        for name in world.origins:
            world.crash(name)
            world.start(name)
        world.run(3_000_000)
        for part in (0.25, 0.5, 0.75, 1.0):
            world.rate = fault_schedule.shape.rate * part
            world.run(3_000_000)
        world.traffic.refusals.clear()
        # and once more in the rush: one service after the other has been cold for a moment
        for name in world.origins:
            if name.endswith("0"):
                world.crash(name)
                world.start(name)
        world.run(6_000_000)
        self.assertLessEqual(len(world.traffic.refusals), 10, list(world.traffic.refusals)[:5])


if __name__ == "__main__":
    unittest.main()
