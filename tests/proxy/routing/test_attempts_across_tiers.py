"""The account of a request's attempts, and the time for them, over edge and shields.

The review's case 8: a shield that gave a GET up said "not-run", and the edge's attempt through the
next shield was charged as a first one; edge and shield each made all the attempts of the route; and
all were given up before the time that the service takes.
"""

import copy
import random
import unittest
from dataclasses import replace
from types import MappingProxyType

from tests.proxy.routing.test_shields import proxy_entry
from tests.support.served import CONFIGURATION, ScriptedOrigin, ServedProxy, answer
from willowpost.proxy.routing.attempt_times import (
    MAX_KEYS,
    MAX_SAMPLE_AGE_US,
    NEVER_US,
    AttemptKey,
    AttemptTimes,
    attempt_time_us,
)
from willowpost.state.tables import Tables

MILLISECOND = 1000
FAILURES = {
    "its own failure": answer(b"", "503 Full"),
    "closed without an answer": None,
    "an answer that ends short": answer(b"x", length=9, Connection="close"),
}
HOP = {"wp_hop": "e", "wp_service": "g", "wp_slot": "5"}


def configuration(tries):
    tree = copy.deepcopy(CONFIGURATION)
    tree["settings"] |= {"tries": tries}
    return tree


class Tiers(unittest.TestCase):
    def edge_before(self, addresses, origins=(), tries=2):
        """An edge whose shields listen at these addresses."""
        proxy = ServedProxy(*origins, configuration=configuration(tries))
        self.addCleanup(proxy.stop)
        names = {f"h{number}": address for number, address in enumerate(addresses)}
        state = proxy.node_state
        daemons = {name: proxy_entry(name, "shield", "a") for name in names}
        ownerships = state.tables.ownerships
        state.tables = Tables(slot=5, epoch=1, ownerships=ownerships, daemons=daemons)
        state.snapshot = replace(
            state.snapshot,
            shields=MappingProxyType(names),
            shield_zones=MappingProxyType(dict.fromkeys(names, "a")),
        )
        return proxy

    def scripted_shields(self, *scripts):
        self.shields = [ScriptedOrigin(*script) for script in scripts]
        return [shield.address for shield in self.shields]

    def heads(self):
        """The heads that shields got, in no order."""
        return [head.lower() for shield in self.shields for head in shield.requests]


class EdgeAccount(Tiers):
    given_up = answer(b"", "504 Late", wp_reject="not-run", wp_attempts_made="1")

    def test_an_attempt_after_one_that_a_shield_has_made_is_a_retry(self):
        """Guards against review/8 (BUDGET): a second attempt charged as a first one."""
        edge = self.edge_before(self.scripted_shields((self.given_up,), (self.given_up,)))
        self.assertEqual(504, edge.ask("GET", "/x")[0])
        heads = self.heads()
        self.assertEqual(2, len(heads))
        self.assertEqual(1, sum(b"wp-extra: 1" in head for head in heads))

    def test_attempts_made_through_shields_are_the_requests_attempts(self):
        origin = ScriptedOrigin(answer())
        for tries in (1, 2):
            addresses = self.scripted_shields(*[(self.given_up,)] * 3)
            edge = self.edge_before(addresses, (origin,), tries)
            self.assertEqual(504, edge.ask("GET", "/x")[0])
            self.assertEqual(tries, len(self.heads()))
        self.assertEqual([], origin.requests)

    def test_a_shield_that_ends_may_have_used_what_it_was_allowed(self):
        edge = self.edge_before(self.scripted_shields((None,), (self.given_up,)), tries=3)
        self.shields[1].answers = [None]
        self.assertEqual(502, edge.ask("GET", "/x")[0])
        allowed = [
            int(head.split(b"wp-attempts-allowed: ")[1].split(b"\r\n")[0]) for head in self.heads()
        ]
        self.assertEqual([1, 2], sorted(allowed))

    def test_a_shield_that_has_made_none_leaves_the_next_attempt_a_first_one(self):
        refused = answer(b"", "503 No", wp_reject="not-run", wp_attempts_made="0")
        served = answer(b"ok", wp_slot="5", wp_attempts_made="1")
        edge = self.edge_before(self.scripted_shields((refused,), (refused,)))
        self.shields[0].answers = self.shields[1].answers = [refused, served]
        edge.ask("GET", "/x")
        self.assertFalse(any(b"wp-extra" in head for head in self.heads()))


class ShieldAccount(Tiers):
    def shield(self, *scripts, tries=3):
        self.origins = [ScriptedOrigin(*script) for script in scripts]
        proxy = ServedProxy(*self.origins, role="shield", configuration=configuration(tries))
        self.addCleanup(proxy.stop)
        return proxy

    def asked(self):
        return sum(len(origin.requests) for origin in self.origins)

    def test_it_makes_no_more_attempts_than_the_edge_allows(self):
        for allowed in (1, 2):
            shield = self.shield(*[(None,)] * 3)
            status, _, headers = shield.ask("GET", "/x", **HOP, wp_attempts_allowed=str(allowed))
            self.assertEqual((502, str(allowed)), (status, headers["wp-attempts-made"]))
            self.assertEqual(allowed, self.asked())

    def test_each_response_says_how_many_it_has_made(self):
        shield = self.shield((answer(b"a"),))
        made = [shield.ask("GET", "/x", **HOP)[2]["wp-attempts-made"] for _ in range(2)]
        self.assertEqual(["1", "0"], made)
        shield.set_origins([])
        status, _, headers = shield.ask("GET", "/y", **HOP)
        self.assertEqual((503, "0"), (status, headers["wp-attempts-made"]))

    def test_only_an_edge_is_told_and_only_its_word_counts(self):
        shield = self.shield(*[(None,)] * 3)
        headers = shield.ask("GET", "/x", wp_attempts_allowed="1")[2]
        self.assertNotIn("wp-attempts-made", headers)
        self.assertEqual(3, self.asked())


class BothTiers(Tiers):
    def test_no_request_reaches_more_origins_than_its_route_allows(self):
        """Guards against review/8 (BUDGET): the route's attempts once at each tier."""
        for tries in (1, 2, 3):
            for failure, response in FAILURES.items():
                with self.subTest(tries=tries, failure=failure):
                    origins = [ScriptedOrigin(response) for _ in range(5)]
                    shields = [
                        ServedProxy(*origins, role="shield", configuration=configuration(tries))
                        for _ in range(3)
                    ]
                    for shield in shields:
                        self.addCleanup(shield.stop)
                    addresses = [":".join(map(str, shield.address)) for shield in shields]
                    edge = self.edge_before(addresses, origins, tries)
                    for number in range(4):
                        before = sum(len(origin.requests) for origin in origins)
                        self.assertGreaterEqual(edge.ask("GET", f"/{number}")[0], 500)
                        after = sum(len(origin.requests) for origin in origins)
                        self.assertLessEqual(after - before, tries)
                        self.assertGreater(after, before)
                    firsts = sum(proxy.stats["tries"] - proxy.stats["extras"] for proxy in shields)
                    self.assertEqual(4, firsts + edge.stats["tries"] - edge.stats["extras"])


class Times(unittest.TestCase):
    key = AttemptKey("g", "cards", is_through_shield=False)

    def known(self, *samples, key=None):
        """(milliseconds, whether it was answered) each."""
        times = AttemptTimes()
        for duration_ms, is_answered in samples:
            times.record(key or self.key, duration_ms * MILLISECOND, is_answered, 0)
        return times

    def milliseconds(self, remaining_ms, share, times, now=0):
        estimate = times.estimate(self.key, now)
        return attempt_time_us(remaining_ms * MILLISECOND, share, estimate) // MILLISECOND

    def test_a_quick_service_leaves_time_for_another_attempt(self):
        times = self.known(*[(70, True)] * 20)
        self.assertEqual(480, self.milliseconds(800, 0.6, times))
        self.assertEqual(400, self.milliseconds(800, 0.5, times))

    def test_an_attempt_has_the_time_that_its_service_takes(self):
        """Guards against review/8 (BUDGET): each attempt given up before its answer."""
        times = self.known(*[(290, True)] * 20)
        self.assertEqual(600, self.milliseconds(600, 0.5, times), "no second one would fit")
        self.assertEqual(500, self.milliseconds(1000, 0.3, self.known(*[(400, True)] * 20)))

    def test_a_service_that_answers_nothing_in_time_is_given_all_of_it(self):
        self.assertEqual(600, self.milliseconds(600, 0.3, self.known(*[(180, False)] * 2)))

    def test_silent_origins_of_a_quick_service_do_not_prolong_attempts(self):
        samples = [(70, True)] * 20 + [(480, False)] * 10
        self.assertEqual(480, self.milliseconds(800, 0.6, self.known(*samples)))

    def test_a_service_that_became_slow_is_noticed(self):
        samples = [(150, True)] * 20 + [(360, False)] * 10
        self.assertEqual(600, self.milliseconds(600, 0.6, self.known(*samples)))

    def test_nothing_known_and_what_is_long_past_leave_the_share(self):
        self.assertEqual(300, self.milliseconds(600, 0.5, AttemptTimes()))
        times = self.known(*[(290, True)] * 20)
        self.assertEqual(300, self.milliseconds(600, 0.5, times, MAX_SAMPLE_AGE_US + 1))

    def test_a_route_with_few_requests_goes_by_its_service(self):
        other = AttemptKey("g", "other", is_through_shield=False)
        self.assertEqual(
            600, self.milliseconds(600, 0.5, self.known(*[(290, True)] * 9, key=other))
        )

    def test_it_never_exceeds_what_is_left_and_never_falls_below_the_share(self):
        chance = random.Random(3)
        for _ in range(500):
            samples = [(chance.randrange(1, 3000), chance.random() < 0.7) for _ in range(30)]
            remaining, share = chance.randrange(50, 5000), chance.choice((0.6, 0.5, 1 / 3))
            given = self.milliseconds(remaining, share, self.known(*samples))
            self.assertLessEqual(given, remaining)
            self.assertGreaterEqual(given, int(remaining * share))

    def test_it_keeps_a_bounded_number_of_routes(self):
        times = AttemptTimes()
        for number in range(2 * MAX_KEYS):
            times.record(AttemptKey("g", str(number), False), 1, True, 0)
        self.assertLessEqual(len(times._samples), MAX_KEYS)
        self.assertIsNotNone(times.estimate(self.key, 0))
        self.assertLess(times.estimate(self.key, 0).high_us, NEVER_US)


if __name__ == "__main__":
    unittest.main()
