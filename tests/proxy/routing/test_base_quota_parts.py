"""The base of an allowance by zone: who is left in a zone has what its callers need."""

import unittest

from willowpost.proxy.routing.snapshot import base_quota_parts


class BaseQuotaParts(unittest.TestCase):
    def test_zones_have_alike_and_all_adds_up(self):
        zones = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
        whole, left = (
            base_quota_parts(tuple(zones), zones),
            base_quota_parts(("a1", "a2", "a3", "b2"), zones),
        )
        self.assertAlmostEqual(1.0, sum(whole.values()))
        self.assertAlmostEqual(whole["b1"] + whole["b2"], whole["a1"] + whole["a2"] + whole["a3"])
        self.assertAlmostEqual(0.5, left["b2"])
        self.assertAlmostEqual(1.0, sum(left.values()))

    def test_nobody_presses_nothing_is_shared(self):
        self.assertEqual({}, dict(base_quota_parts((), {})))


if __name__ == "__main__":
    unittest.main()
