"""The metrics page of a registry: calls, submissions by outcome, and how far its tables are."""

from unittest.mock import patch

from tests.support.metrics_page import value_of
from tests.support.registry_world import World
from willowpost.common.clock import MILLISECOND
from willowpost.node.graceful_shutdown import ShutdownStage
from willowpost.registry.api.log_client import LogClient
from willowpost.registry.api.submission_counts import CallOutcome, SubmissionCounts
from willowpost.registry.metrics import RegistryMetrics
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.request_cuts import CutCause, RequestCuts
from willowpost.shell.router import Router
from willowpost.shell.web import Response


class RegistryPage(World):
    """The page of registry r0, after calls."""

    def setUp(self):
        super().setUp()
        client = self.fronts[0].log_client
        self.router = Router([("GET", "/x", 0, lambda call: Response(307))], None)
        self.cuts = RequestCuts("core", lambda: ShutdownStage.LEAVING)
        source = RegistryMetrics(
            client.node_state, self.router, client.submissions, self.cuts, {}, client.now
        )
        self.page = MetricsPage(source)

    def value(self, name):
        return value_of(self.page, name)

    def outcome(self, outcome):
        return self.value(f'submissions_total{{outcome="{outcome.value}"}}')

    def test_orders_are_counted_by_outcome(self):
        self.assertEqual(0, self.outcome(CallOutcome.ACCEPTED))
        tree = self.world.configuration
        self.assertEqual(200, self.call("PUT", "/v1/configuration", tree).code)
        self.assertEqual(412, self.call("PUT", "/v1/configuration", tree, If_Match='"7"').code)
        with patch.object(LogClient, "_submit_once", return_value=None):
            self.assertEqual(504, self.call("POST", "/v1/zones/b/empty").code)
        with patch.object(LogClient, "is_in_touch", return_value=False):
            self.assertEqual(503, self.call("POST", "/v1/zones/b/empty").code)
        self.assertEqual(1, self.outcome(CallOutcome.ACCEPTED))
        self.assertEqual(1, self.outcome(CallOutcome.UNKNOWN))
        self.assertEqual(1, self.outcome(CallOutcome.OUT_OF_TOUCH))
        self.assertEqual(1, self.value("configuration_version"))
        self.assertEqual(1, self.value("quorum_contact"))
        self.assertLess(self.value("tables_age_seconds"), 1)

    def test_an_order_that_something_newer_overtook_counts_as_superseded(self):
        for action in ("empty", "restore"):
            self.call("POST", f"/v1/zones/b/{action}", first=1)
            self.world.run(1_000_000)
        late = self.call_once("POST", "/v1/zones/b/empty", query="known=0.1")
        self.assertEqual(307, late.code)
        self.assertEqual(1, self.outcome(CallOutcome.SUPERSEDED))
        self.assertEqual(0, self.outcome(CallOutcome.ACCEPTED))

    def test_calls_that_end_with_the_process_are_counted(self):
        ended = f'requests_cut_total{{cause="{CutCause.PROCESS_ENDED.value}",role="core"'
        self.assertEqual(0, self.value(f'{ended},stage="leaving"}}'))
        self.cuts.record(CutCause.PROCESS_ENDED, 0)
        self.cuts.record(CutCause.PROCESS_ENDED, 2)
        self.assertEqual(2, self.value(f'{ended},stage="leaving"}}'))

    def test_responses_are_counted_by_status(self):
        call = {"REQUEST_METHOD": "GET", "PATH_INFO": "/x"}
        for path in ("/x", "/x", "/nowhere"):
            self.router({**call, "PATH_INFO": path}, lambda status, headers: None)
        self.assertEqual(2, self.value('responses_total{status="307"}'))
        self.assertEqual(1, self.value('responses_total{status="404"}'))


class AcceptedAfter(World):
    def test_only_accepted_calls_are_timed(self):
        submissions = SubmissionCounts()
        submissions.add(CallOutcome.ACCEPTED, 15 * MILLISECOND)
        submissions.add(CallOutcome.UNKNOWN, 850 * MILLISECOND)
        client = self.fronts[0].log_client
        router = Router([], None)
        cuts = RequestCuts("core", lambda: ShutdownStage.SERVING)
        page = MetricsPage(
            RegistryMetrics(client.node_state, router, submissions, cuts, {}, client.now)
        )
        self.assertEqual(0, value_of(page, 'accepted_seconds_bucket{le="0.01"}'))
        self.assertEqual(1, value_of(page, 'accepted_seconds_bucket{le="0.02"}'))
        self.assertEqual(1, value_of(page, 'accepted_seconds_bucket{le="+Inf"}'))
