"""How many origins one request may meet, what a failure carries, and what reloads leave alone."""

import unittest

import gevent

from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.configuration.checker import ConfigurationChecker

HOST = "h.example"
ORIGINS = 5
FAILURES = {
    "its own failure": answer(b"", "500 Broke", wp_request="n1", wp_seal="s"),
    "not run": answer(b"", "503 Full", wp_not_run="1"),
    "another incarnation": answer(b"", "421 Misdirected"),
    "closed without an answer": None,
    "a success without a seal": answer(b"ok", wp_request="n1"),
}
# an origin may have run it, so a request that may run once ends there
MAY_HAVE_RUN = {"its own failure", "closed without an answer", "a success without a seal"}


def configuration(tries, more=()):
    paths = {"once": "once", "again": "repeatable", "kept": "kept"}
    branches = {
        name: {
            "host": HOST,
            "path": f"/{name}/",
            "settings": {"kind": kind, **({"keep_seconds": 60} if kind == "kept" else {})},
        }
        for name, kind in paths.items()
    }
    later = {
        name: {"host": HOST, "path": f"/{name}/", "settings": {"kind": "repeatable"}}
        for name in more
    }
    return {
        "services": {"g": {"rate": 1000, "named": True, "sealed": True}},
        "settings": {"service": "g", "tries": tries, "deadline_ms": 4000},
        "branches": branches | later,
    }


class Served(unittest.TestCase):
    def served(self, tree, *answers, origins=ORIGINS):
        self.origins = [ScriptedOrigin(*answers) for _ in range(origins)]
        self.proxy = ServedProxy(*self.origins, configuration=tree)
        self.addCleanup(self.proxy.stop)
        self.set_origins()
        return self.proxy

    def set_origins(self, tree=None):
        if tree is not None:
            self.proxy.configuration = ConfigurationChecker().check_value(tree).unwrap()
        self.proxy.set_origins(self.origins, checks_incarnation=True, requires_seal=True)

    def met(self):
        """For each origin that was asked, how often."""
        return [len(origin.requests) for origin in self.origins if origin.requests]

    def ask(self, kind, number=1, **headers):
        method, body = ("POST", b"x") if kind == "once" else ("GET", b"")
        return self.proxy.ask(method, f"/{kind}/{number}", body, wp_request="n1", **headers)


class AttemptsPerTry(Served):
    def test_no_more_origins_than_the_route_allows_are_asked_and_none_twice(self):
        for tries in (1, 2, 3):
            for failure, response in FAILURES.items():
                for kind in ("once", "again", "kept"):
                    with self.subTest(tries=tries, failure=failure, kind=kind):
                        self.served(configuration(tries), response)
                        status = self.ask(kind)[0]
                        self.assertGreaterEqual(status, 500)
                        expected = 1 if kind == "once" and failure in MAY_HAVE_RUN else tries
                        self.assertEqual([1] * expected, self.met())

    def test_a_failure_bears_a_seal_only_with_the_status_that_its_origin_gave(self):
        for failure, response in FAILURES.items():
            for kind in ("once", "again", "kept"):
                with self.subTest(failure=failure, kind=kind):
                    self.served(configuration(2), response)
                    status, _, headers = self.ask(kind)
                    passed = failure == "its own failure"
                    self.assertEqual(passed, status == 500)
                    self.assertEqual("s" if passed else None, headers.get("wp-seal"))


class UnderWay(Served):
    def blocked_request(self):
        """A request that its origin works on until `go` is called."""
        proxy = self.served(configuration(2), answer(b"whole", wp_request="n1", wp_seal="s"))
        reached, release = gevent.event.Event(), gevent.event.Event()

        def hold(head):
            reached.set()
            release.wait()

        for origin in self.origins:
            origin.hold = hold
        return proxy, reached, release

    def assert_answered_whole(self, change):
        for kind in ("once", "again", "kept"):
            with self.subTest(kind=kind):
                proxy, reached, release = self.blocked_request()
                task = gevent.spawn(self.ask, kind)
                self.assertTrue(reached.wait(5))
                change(proxy)
                proxy.pool.keep_only(proxy.node_state.snapshot.origins)
                release.set()
                status, body, headers = task.get(timeout=5)
                self.assertEqual((200, b"whole", "s"), (status, body, headers["wp-seal"]))
                self.assertEqual([1], self.met())

    def test_a_configuration_that_drops_its_route_cuts_nothing(self):
        dropped = {**configuration(2), "branches": {}}
        self.assert_answered_whole(lambda proxy: self.set_origins(dropped))

    def test_an_origin_that_went_out_of_force_may_finish_its_answer(self):
        self.assert_answered_whole(
            lambda proxy: proxy.set_origins([], checks_incarnation=True, requires_seal=True)
        )


class RoutesAddedLater(Served):
    LATER = tuple(f"later-{number}" for number in range(30))

    def test_they_are_served_as_the_first_ones_are(self):
        proxy = self.served(
            configuration(2), answer(b"ok", wp_request="n1", wp_seal="s"), origins=2
        )
        self.assertEqual({404}, {self.ask(name)[0] for name in self.LATER})
        self.set_origins(configuration(2, self.LATER))
        for number in range(3):
            for kind in ("once", "again", "kept", *self.LATER):
                with self.subTest(route=kind, number=number):
                    self.assertEqual(200, self.ask(kind, number)[0])
        self.assertEqual(0, proxy.stats["reject.503"])


if __name__ == "__main__":
    unittest.main()
