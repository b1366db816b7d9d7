"""A sweep tells what broke, with what was done until then.

And goes on to the next seeds when asked.
"""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from willowpost.drill.sweep_command import SweepCommand
from willowpost.sim.rules import Broken


class FaultSchedule:
    """Breaks by the seed: 1 and 3 of one rule, 4 of none but by a fault of its own."""

    def __init__(self, seed, deployment):
        self.seed = seed
        self.trace = [(1_500_000, "zone_cut")]
        self.world = SimpleNamespace(
            notes=[(2_000_000, "e1", "shares", "claims")],
            traffic=SimpleNamespace(margin={"widest": seed}),
        )

    def run(self):
        if self.seed in (1, 3):
            raise Broken(
                f"t={self.seed}000: zone_cut: {self.seed} refused of 6365, a handful is 12: [(1, 503)]"
            )
        if self.seed == 4:
            raise KeyError("x")


def sweep(words):
    application = Application()
    application.add(SweepCommand())
    with patch("willowpost.drill.sweep_command.BoundedFaultSchedule", FaultSchedule):
        tester = CommandTester(application.find("sweep"))
        code = tester.execute(words)
    return code, tester.io.fetch_output()


class Sweep(unittest.TestCase):
    def test_it_stops_at_the_first_that_breaks_and_tells_what_was_done(self):
        code, said = sweep("bounded --first 0 --count 5")
        self.assertEqual(1, code)
        self.assertIn("seed 1 broke: t=1000: zone_cut: 1 refused", said)
        self.assertIn("t=1.500 s  zone_cut", said)
        self.assertIn("e1 shares: claims", said)
        self.assertNotIn("seed 3", said)
        self.assertIn("1 of 2 seeds kept every rule, 1 broke one", said)

    def test_it_goes_on_when_asked_and_counts_by_rule(self):
        code, said = sweep("bounded --first 0 --count 6 --go-on")
        self.assertEqual(1, code)
        self.assertIn("3 of 6 seeds kept every rule, 3 broke one", said)
        self.assertIn("  2 broke: zone_cut: N refused of N, a handful is N", said)
        self.assertIn("  1 broke: nothing raises: KeyError", said)

    def test_kept_seeds_end_well_with_their_trace(self):
        code, said = sweep("bounded --first 5 --count 2 --trace")
        self.assertEqual(0, code)
        self.assertIn("2 seeds kept every rule", said)
        self.assertEqual(2, said.count("zone_cut"))


if __name__ == "__main__":
    unittest.main()
