"""Base quotas by zone: the proxies that remain in a zone have what its callers need."""

import unittest

from willowpost.proxy.routing.snapshot_maker import base_quota_shares


class BaseQuotaShares(unittest.TestCase):
    def test_zones_have_equal_shares_and_all_add_up_to_one(self):
        zones = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
        all_senders, remaining = (
            base_quota_shares(tuple(zones), zones),
            base_quota_shares(("a1", "a2", "a3", "b2"), zones),
        )
        self.assertAlmostEqual(1.0, sum(all_senders.values()))
        self.assertAlmostEqual(
            all_senders["b1"] + all_senders["b2"],
            all_senders["a1"] + all_senders["a2"] + all_senders["a3"],
        )
        self.assertAlmostEqual(0.5, remaining["b2"])
        self.assertAlmostEqual(1.0, sum(remaining.values()))

    def test_without_senders_there_are_no_shares(self):
        self.assertEqual({}, dict(base_quota_shares((), {})))


if __name__ == "__main__":
    unittest.main()
