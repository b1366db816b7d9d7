"""Allowances too small to be shared out: used in full by whoever has a request, and never exceeded."""

import unittest
from unittest.mock import patch

from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds

TOKENS = "willowpost.proxy.admission.admission_tokens"


def SHARED(service):
    return False


def small(rate, seed=4):
    """The applications' service may get `rate` requests a second from eight proxies.

    Callers ask for some twenty.
    """
    world = FleetWorld(seed)
    world.configuration["services"]["apps"]["rate"] = rate
    world.rates = {**world.rates, "apps": rate}
    world.open()
    return world


def arrived(world, span):
    before = len(world.arrivals["apps"])
    world.run(seconds(span))
    return len(world.arrivals["apps"]) - before


class SmallRates(unittest.TestCase):
    def test_a_small_rate_is_used_and_never_exceeded(self):
        for rate in (0.4, 1.0, 2.5):
            with self.subTest(rate=rate):
                got = arrived(small(rate), 40)
                self.assertGreater(got, 0.85 * rate * 40 - 1)
                self.assertLessEqual(got, rate * 40 + 1)

    def test_shared_out_it_would_get_a_fraction_and_below_that_nothing_at_all(self):
        with (
            patch(f"{TOKENS}.is_admitted_by_tokens", SHARED),
            patch("willowpost.proxy.admission.quota_admission.is_admitted_by_tokens", SHARED),
            patch("willowpost.proxy.admission.quota.is_admitted_by_tokens", SHARED),
            patch("willowpost.proxy.admission.quota_share_client.is_admitted_by_tokens", SHARED),
            patch("willowpost.proxy.admission.quota_share_owner.is_admitted_by_tokens", SHARED),
        ):
            self.assertEqual(0, arrived(small(0.5), 20))
            self.assertLess(arrived(small(0.8), 20), 0.4 * 0.8 * 20)

    def test_an_owner_that_gives_without_count_is_caught(self):
        with (
            patch(f"{TOKENS}.TokenBucket.take", lambda *args: True),
            self.assertRaisesRegex(Broken, "at rate 1.0"),
        ):
            arrived(small(1.0), 20)

    def test_the_rate_holds_while_owners_are_killed_cut_off_and_frozen(self):
        world, faults = small(1.0), []
        for number in range(12):
            owner = (
                world.seats["r0"]
                .node.registry.tables.ownerships["quota_share/apps"]
                .owner.split("/")[0]
            )
            fault = number % 3
            faults.append(owner)
            if fault == 0:
                world.crash(owner)
            elif fault == 1:
                # still heard by those who ask it, but not by the core: its grants must end with its
                # lease
                world.cut(
                    [owner],
                    [
                        name
                        for name in world.seats
                        if name not in world.edges + world.shields + world.origins + ["caller"]
                    ],
                )
            else:
                world.freeze(owner, seconds(3))
            world.run(seconds(7))
            world.heal()
            if world.seats[owner].node is None:
                world.start(owner)
        self.assertGreater(len(set(faults)), 1)
        self.assertGreater(arrived(world, 20), 15)


class ColdAndSlow(unittest.TestCase):
    def test_a_whole_service_cold_at_once_is_pressed_by_everybody_and_never_too_hard(self):
        """Each origin bears one request a second at first: too few for a token at every sender."""
        world = FleetWorld(4)
        world.cold_part, world.ramp = 1 / 120, 20.0
        world.configuration["services"]["apps"]["ramp_seconds"] = world.configuration["services"][
            "art"
        ]["ramp_seconds"] = 20.0
        world.open()
        world.run(seconds(20))
        for name in world.origins:
            world.crash(name)
            world.start(name)
        world.run(seconds(1))
        edges = {edge for moment, edge in world.traffic.served}
        self.assertEqual(set(world.edges), edges)
        self.assertGreater(arrived(world, 5), 10)


if __name__ == "__main__":
    unittest.main()
