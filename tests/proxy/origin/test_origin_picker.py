"""The draw feels what origins report, and nobody's word draws a herd or does harm."""

import random
import unittest
from collections import Counter
from unittest.mock import patch

from willowpost.proxy.origin.pick import OriginPicker
from willowpost.proxy.origin.reports import MAX_REPORT_AGE_US
from willowpost.proxy.routing.snapshot import OriginCard
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds


def rushed(slow="apps1"):
    """Three applications take 20 ms, one 400."""
    world = FleetWorld(1, rate=300)
    world.open()
    world.run(seconds(4))
    for name in world.origins:
        world.seats[name].node.mode = "tired" if name == slow else "brisk"
    return world


def spread(world, span):
    before = Counter({name: world.seats[name].node.served for name in world.origins})
    world.run(seconds(span))
    return (
        Counter(
            {
                name: world.seats[name].node.served
                for name in world.origins
                if name.startswith("apps")
            }
        )
        - before
    )


def part(counts, name="apps1"):
    return counts[name] / counts.total()


class Picking(unittest.TestCase):
    def test_a_slow_origin_is_picked_less_and_found_again(self):
        world = rushed()
        with_reports = part(spread(world, 15))
        with patch.object(OriginPicker, "_load_penalties", lambda *args: {}):
            without = part(spread(rushed(), 15))
        self.assertLess(with_reports, 0.7 * without)
        self.assertGreater(with_reports, 0)
        world.seats["apps1"].node.mode = "brisk"
        world.run(seconds(5))
        self.assertGreater(part(spread(world, 10)), 0.15)

    def test_one_that_comes_new_among_quick_ones_is_asked(self):
        cards = [OriginCard(name, name, "a", 100, 10, False, slots=8) for name in "abc"]
        pick = OriginPicker("a", random.Random(1))
        for now in range(100):
            pick.answered("ab"[now % 2], 2000, "0,0,8", now * 1000)
        picked = Counter(pick.pick(cards, None, (), 200_000)[0].name for _ in range(300))
        self.assertGreater(picked["c"], 30)

    def test_liars_harm_nobody_but_themselves(self):
        for lie, least, most in ((0, 0.15, 0.4), (1_000_000, 0.0, 0.3)):
            with self.subTest(lie=lie):
                world = rushed(slow=None)
                world.seats["apps1"].node.lie = lie
                self.assertTrue(least <= part(counts := spread(world, 10)) <= most, counts)
                others = [counts[name] for name in ("apps0", "apps2", "apps3")]
                self.assertLess(max(others), 1.6 * min(others))

    def test_heavy_answers_come_from_near(self):
        cards = [OriginCard(zone, zone, zone, 100, 10, False, slots=8) for zone in "abc"]
        pick = OriginPicker("a", regions={"a": "r", "b": "r", "c": "s"})
        for name, took in (("a", 50_000), ("b", 30_000), ("c", 20_000)):
            pick.answered(name, took, "0,0,8", 0)
        self.assertEqual("c", pick.pick(cards, None, (), 0)[0].name)
        self.assertEqual(
            ["a", "b", "c"], [card.name for card in pick.pick(cards, None, (), 0, True)]
        )

    def test_one_that_was_slow_once_is_asked_again_after_a_while(self):
        cards = [OriginCard(name, name, "a", 100, 10, False, slots=8) for name in "ab"]
        pick = OriginPicker("a")
        pick.answered("a", 900_000, "0,0,8", 0)
        pick.answered("b", 30_000, "0,0,8", 0)
        self.assertEqual({"b"}, {pick.pick(cards, None, (), 0)[0].name for _ in range(20)})
        later = 20 * 1_000_000
        pick.answered("b", 30_000, "0,0,8", later)
        self.assertEqual(
            {"a", "b"}, {pick.pick(cards, None, (), later)[0].name for _ in range(200)}
        )

    def test_stale_reports_count_for_nothing_and_no_report_outweighs_silence(self):
        cards = [OriginCard(name, name, "a", 100, 10, False) for name in "abc"]
        pick = OriginPicker("a", reports=lambda: {"a": (90, 0), "b": (0, 0)})
        self.assertEqual("a", pick.pick(cards, None, (), MAX_REPORT_AGE_US)[-1].name)
        firsts = Counter(pick.pick(cards, None, (), MAX_REPORT_AGE_US)[0].name for _ in range(200))
        # the idle one draws no more than the silent one
        self.assertGreater(min(firsts["b"], firsts["c"]), 50)
        lasts = Counter(
            pick.pick(cards, None, (), MAX_REPORT_AGE_US + 1)[-1].name for _ in range(200)
        )
        self.assertGreater(min(lasts[name] for name in "abc"), 30)


if __name__ == "__main__":
    unittest.main()
