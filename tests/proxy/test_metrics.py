"""The figures of a process as text, and the invariants that a proxy tells there."""

import subprocess
import sys
import unittest

from tests.support.metrics_page import fetch, value_of
from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.proxy.client.lifetime import RequestLifetime
from willowpost.proxy.metrics import ProxyMetrics
from willowpost.proxy.outgoing import Invariant
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.web_server import WebServer


class Page(unittest.TestCase):
    def setUp(self):
        self.proxy = ServedProxy(ScriptedOrigin(answer(b"ok", cache_control="no-store")))
        self.addCleanup(self.proxy.stop)
        outgoing = self.proxy.front.executor.attempts.resources.outgoing
        source = ProxyMetrics(self.proxy.front, self.proxy.node_state, outgoing, {})
        self.page = MetricsPage(source)

    def figure(self, name):
        return value_of(self.page, name)

    def test_requests_ages_and_invariants_are_told(self):
        self.proxy.clock.time += 250_000
        self.assertEqual(200, self.proxy.ask("GET", "/a")[0])
        self.assertEqual(1, self.figure('events_total{event="requests"}'))
        self.assertEqual(0, self.figure('sent_tables_age_seconds_bucket{le="0.2"}'))
        self.assertEqual(1, self.figure('sent_tables_age_seconds_bucket{le="0.3"}'))
        self.assertEqual(1, self.figure('sent_tables_age_seconds_bucket{le="+Inf"}'))
        self.assertEqual(0, self.figure("exchanges_without_caller"))
        for invariant in Invariant:
            name = f'invariant_violations_total{{invariant="{invariant.value}"}}'
            self.assertEqual(0, self.figure(name))

    def test_it_is_served_on_any_path(self):
        web = WebServer("127.0.0.1:0", self.page)
        web.start()
        self.addCleanup(web.stop, 0)
        held = fetch(web.server.server_port)
        self.assertIn(b"200 OK", held)
        self.assertIn(b"willowpost_log_slot 5.0", held)

    def test_a_violation_is_counted_and_logged(self):
        state, origin = self.proxy.node_state, ScriptedOrigin(answer(b"ok"))
        outgoing = self.proxy.front.executor.attempts.resources.outgoing
        lines = []
        outgoing.log = lambda *words, **fields: lines.append((words, fields))
        self.proxy.set_origins([origin])
        state.quorum_contact_at = state.running_us
        state.fresh_as_of = self.proxy.clock.now() - 2_000_000
        request = self.proxy.front.parse(ScriptedCall(), 0, RequestLifetime())
        with outgoing.sending(request, "somebody", False, False):
            self.assertEqual(1, len(outgoing.in_flight))
        broken = {name for name, count in outgoing.violations.items() if count}
        self.assertEqual(
            {Invariant.RECEIVER_IN_FORCE.value, Invariant.TABLES_CURRENT.value}, broken
        )
        self.assertEqual(2, len(lines))


class ScriptedCall:
    """A caller's request, as the handler hands it over."""

    def __init__(self):
        self.method, self.target = "GET", "/a"
        self.headers = {"host": "h.example", "wp-request": "n1"}


class LazyLibraryImport(unittest.TestCase):
    def test_the_library_is_loaded_at_the_first_fetch(self):
        code = """import sys, willowpost.proxy.daemon
assert "prometheus_client" not in sys.modules
from willowpost.shell.metrics import Metric, MetricsPage
text = MetricsPage(lambda: [Metric("x", "X.", {"": 1})]).text()
assert b"willowpost_x 1.0" in text and "prometheus_client" in sys.modules"""
        subprocess.run([sys.executable, "-c", code], check=True)


if __name__ == "__main__":
    unittest.main()
