"""The allowances' shares follow the callers from zone to zone; without that.

The same day is refused in numbers.
"""

import unittest
from unittest.mock import patch

from willowpost.common.clock import SECOND
from willowpost.proxy.admission.quota_share_client import QuotaShareClient
from willowpost.sim.fleet.day import DayWorld


class QuotaShareShifts(unittest.TestCase):
    def test_shares_follow_the_day(self):
        found = DayWorld(1, 30, 200).day()
        self.assertGreater(found.busiest_part, 0.7)
        self.assertLessEqual(found.refused, 5)
        self.assertLessEqual(DayWorld(1, 30, 240).day().refused, 5)

    def test_an_owner_lost_while_the_day_moves_costs_a_handful(self):
        world = DayWorld(1, 30, 200)

        def lose():
            owner = (
                world.seats["r0"]
                .node.registry.tables.ownerships["quota_share/art"]
                .owner.split("/")[0]
            )
            world.crash(owner)
            world.at(8 * SECOND, world.start, owner)

        world.at(20 * SECOND, lose)
        self.assertLessEqual(world.day().refused, 12)

    def test_even_shares_would_not_do(self):
        request_grants = QuotaShareClient._request_grants

        def without_demand(self, now, plan):
            self.node_state.demand = {}
            self.smoothed_demand = {}
            request_grants(self, now, plan)

        with patch.object(QuotaShareClient, "_request_grants", without_demand):
            self.assertGreater(DayWorld(1, 30, 240).day().refused, 100)


if __name__ == "__main__":
    unittest.main()
