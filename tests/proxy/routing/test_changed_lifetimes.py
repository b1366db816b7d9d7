"""Stored responses are judged by the route that a request has now, not by that of their fetch.

The review's case 6: a route added with a `keep_seconds` of 2 was served from copies of 60 s.
"""

import copy
import unittest

import gevent
import gevent.event

from tests.support.served import CONFIGURATION, ScriptedOrigin, ServedProxy, answer
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.proxy.request_parser import max_age_of

SECOND = 1_000_000


def configuration(**settings):
    """The usual one, with other settings for all its routes."""
    tree = copy.deepcopy(CONFIGURATION)
    tree["settings"].update(settings)
    return tree


class Changed(unittest.TestCase):
    def served(self, *answers, role="edge"):
        self.origin = ScriptedOrigin(*answers)
        self.proxy = ServedProxy(self.origin, role=role, configuration=configuration())
        self.addCleanup(self.proxy.stop)
        return self.proxy

    def change(self, tree):
        self.proxy.configuration = ConfigurationChecker().check_value(tree).unwrap()
        self.proxy.set_origins([self.origin])

    def get(self, path="/x", **headers):
        return self.proxy.ask("GET", path, **headers)[1]

    def wait(self, seconds):
        self.proxy.clock.time += int(seconds * SECOND)
        self.proxy.node_state.fresh_as_of = self.proxy.clock.now()


class Lifetimes(Changed):
    def test_a_shorter_time_holds_for_copies_that_are_there(self):
        """Guards against review/6 (STALE): a lifetime fixed when the copy was stored."""
        self.served(answer(b"old"), answer(b"new"))
        self.assertEqual(b"old", self.get())
        self.change(configuration(keep_seconds=2))
        self.wait(1.5)
        self.assertEqual(b"old", self.get())
        self.wait(1)
        self.assertEqual(b"new", self.get())

    def test_so_it_does_for_a_route_that_is_added_below(self):
        self.served(answer(b"old"), answer(b"new"))
        self.assertEqual(b"old", self.get("/live/x"))
        tree = configuration()
        settings = {"methods": ["GET", "HEAD"], "keep_seconds": 2}
        tree["branches"]["live"] = {"host": "h.example", "path": "/live/", "settings": settings}
        self.change(tree)
        self.wait(3)
        self.assertEqual(b"new", self.get("/live/x"))

    def test_a_longer_time_holds_as_far_as_the_origin_allows(self):
        for stated, expected in (({}, b"old"), ({"Cache_Control": "max-age=70"}, b"new")):
            with self.subTest(stated=stated):
                self.served(answer(b"old", **stated), answer(b"new"))
                self.assertEqual(b"old", self.get())
                self.change(configuration(keep_seconds=600))
                self.wait(90)
                self.assertEqual(expected, self.get())

    def test_a_renewal_by_an_older_route_holds_no_longer_either(self):
        self.served(
            answer(b"old", ETag='"1"'),
            b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\n\r\n',
            answer(b"new"),
        )
        self.get()
        self.wait(61)
        self.assertEqual(b"old", self.get())
        self.change(configuration(keep_seconds=2))
        self.wait(3)
        self.assertEqual(b"new", self.get())

    def test_a_route_that_keeps_nothing_any_more_serves_no_copy(self):
        self.served(answer(b"old"), answer(b"new"))
        self.get()
        self.change(configuration(cache=False))
        self.assertEqual(b"new", self.get())

    def test_home_regions_that_change_end_copies_kept_elsewhere(self):
        self.served(answer(b"old"), answer(b"new"))
        self.proxy.front.planner.regions = {"a": "here"}
        self.get()
        self.change(configuration(homes=["elsewhere"]))
        self.assertEqual(b"new", self.get())

    def test_a_fetch_that_began_under_an_older_route_is_not_shared_with_newer_requests(self):
        self.served(answer(b"old"), answer(b"new"))
        reached, release = gevent.event.Event(), gevent.event.Event()

        def hold(head):
            reached.set()
            release.wait()

        self.origin.hold = hold
        first = gevent.spawn(self.get)
        self.assertTrue(reached.wait(5))
        self.change(configuration(keep_seconds=1))
        second = gevent.spawn(self.get)
        gevent.sleep(0.05)
        self.wait(1.4)
        self.wait(1.4)
        self.origin.hold = None
        release.set()
        self.assertEqual(b"old", first.get(timeout=5))
        self.assertEqual(b"new", second.get(timeout=5))


class AtAShield(Changed):
    def test_a_shield_goes_by_the_shorter_of_both_routes(self):
        hop = {"wp_hop": "e", "wp_service": "g", "wp_slot": "5"}
        self.served(answer(b"old"), answer(b"new"), role="shield")
        self.assertEqual(b"old", self.get(**hop, wp_max_age="60000"))
        self.wait(3)
        self.assertEqual(b"old", self.get(**hop))
        self.assertEqual(b"new", self.get(**hop, wp_max_age="2000"))

    def test_only_an_edges_word_counts(self):
        self.served(answer(b"old"), answer(b"new"))
        self.get()
        self.wait(3)
        self.assertEqual(b"old", self.get(wp_max_age="0"))

    def test_what_is_no_number_counts_as_nothing(self):
        for value in ("", "-1", "1.5", "x", "9" * 5000):
            self.assertIsNone(max_age_of({"wp-max-age": value}), value)
        self.assertIsNone(max_age_of({}))


if __name__ == "__main__":
    unittest.main()
