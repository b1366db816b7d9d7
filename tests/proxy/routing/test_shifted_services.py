"""A stored response belongs to the service that it came from.

The review's case 4: a route was shifted to a service whose objects carried equal tags, and went on
to answer with the old service's bytes for good, since the new service's 304 renewed them.
"""

import copy
import unittest
from dataclasses import replace
from types import MappingProxyType

import gevent
import gevent.event

from tests.support.served import CONFIGURATION, ScriptedOrigin, ServedProxy, answer
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.proxy.cache.entry import CacheEntry, CacheKey
from willowpost.proxy.cache.store import CacheStore
from willowpost.state.entries import Ownership, Purge
from willowpost.state.tables import Tables

SECOND = 1_000_000
TAG = '"1"'


def versioned(body):
    """Answers as an origin that has the version TAG of an object."""

    def respond(head):
        if TAG.encode() in head:
            return b"HTTP/1.1 304 Not Modified\r\nETag: %b\r\n\r\n" % TAG.encode()
        return answer(body, ETag=TAG)

    return respond


class Shifted(unittest.TestCase):
    def setUp(self):
        self.first, self.second = (
            ScriptedOrigin(versioned(body)) for body in (b"first", b"second")
        )
        self.proxy = ServedProxy(self.first)
        self.addCleanup(self.proxy.stop)
        self.lead_to("g")

    def lead_to(self, *services):
        """Has all routes lead to these services, with equal weights."""
        tree = copy.deepcopy(CONFIGURATION)
        tree["services"]["n"] = {"rate": 1000}
        del tree["settings"]["service"]
        tree["settings"]["split"] = [{"service": name, "weight": 1} for name in services]
        proxy = self.proxy
        proxy.configuration = ConfigurationChecker().check_value(tree).unwrap()
        proxy.set_origins([self.second])
        other = proxy.node_state.snapshot
        proxy.set_origins([self.first])
        own = proxy.node_state.snapshot
        both = MappingProxyType({"g": own.services["g"], "n": other.services["g"]})
        proxy.node_state.snapshot = replace(
            own, services=both, origins=own.origins | other.origins, version=own.version + 1
        )
        ownerships = {f"quota_share/{name}": Ownership("p", 1) for name in both}
        proxy.node_state.tables = Tables(slot=5, epoch=1, ownerships=ownerships)
        proxy.node_state.grants = dict.fromkeys(both, proxy.node_state.grants["g"])
        proxy.quota_admission.admit("n", proxy.clock.now())
        self.wait(1)

    def wait(self, seconds):
        self.proxy.clock.time += seconds * SECOND
        self.proxy.node_state.fresh_as_of = self.proxy.clock.now()

    def get(self, path="/x"):
        return self.proxy.ask("GET", path)[1]

    def test_a_shifted_route_answers_with_the_new_services_bytes(self):
        """Guards against review/4 (MIXED): an old service's copy renewed by the new one's 304."""
        self.assertEqual(b"first", self.get())
        self.lead_to("n")
        self.assertEqual(b"second", self.get())
        self.wait(61)
        self.assertEqual(b"second", self.get())
        self.assertNotIn(b"if-none-match", self.second.requests[0].lower())

    def test_a_route_that_comes_back_finds_its_own_copy(self):
        self.get()
        self.lead_to("n")
        self.get()
        self.lead_to("g")
        self.assertEqual(b"first", self.get())
        self.assertEqual(1, len(self.first.requests))

    def test_each_part_of_a_split_keeps_its_own(self):
        self.lead_to("g", "n")
        found = {self.get() for _ in range(40)}
        self.assertEqual({b"first", b"second"}, found)
        self.assertEqual((1, 1), (len(self.first.requests), len(self.second.requests)))

    def test_a_fetch_from_one_service_is_not_joined_for_another(self):
        reached, release = gevent.event.Event(), gevent.event.Event()

        def hold(head):
            reached.set()
            release.wait()

        self.first.hold = hold
        before = gevent.spawn(self.get)
        self.assertTrue(reached.wait(5))
        self.lead_to("n")
        self.assertEqual(b"second", self.get())
        self.assertEqual(0, self.proxy.stats["collapsed"])
        release.set()
        before.get(timeout=5)
        self.assertEqual(b"second", self.get())


class Purges(unittest.TestCase):
    def test_a_purge_takes_the_copies_of_all_services(self):
        for kind, path in (("item", "/x"), ("prefix", "/"), ("tag", "t")):
            with self.subTest(kind=kind):
                cache = CacheStore()
                cache.purge(Tables(slot=5, epoch=1))
                for service in ("g", "n"):
                    entry = CacheEntry(
                        "h", "/x", (), 200, (), b"", 0, None, 5, False, ("t",), service
                    )
                    self.assertTrue(cache.store(entry))
                    self.assertIsNotNone(cache.find(CacheKey("h", "/x", service), {}))
                purge = Purge(slot=6, host="h", kind=kind, path=path)
                cache.purge(Tables(slot=7, epoch=1, purges=(purge,)))
                self.assertEqual(0, len(cache.entries))


if __name__ == "__main__":
    unittest.main()
