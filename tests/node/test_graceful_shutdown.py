"""The stages of a graceful shutdown and their timeouts."""

import unittest
from types import SimpleNamespace

from tests.support.entries import daemon_entry
from willowpost.common.clock import MILLISECOND
from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.node.graceful_shutdown import (
    GracefulShutdown,
    ShutdownRequested,
    ShutdownStage,
    ShutdownTimeouts,
)
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.state.operations import DrainDaemon, RemoveDaemon
from willowpost.state.tables import Tables

DESCRIPTOR = DaemonDescriptor("e/proxy", "proxy", "edge", "e", "a", "127.0.0.1:1", "127.0.0.1:2", 7)


class RecordingClient:
    def __init__(self):
        self.operations = []

    def step(self, event, now):
        self.operations += event.operations
        return Plan()


class Stages(unittest.TestCase):
    def setUp(self):
        self.node_state = NodeState(
            DESCRIPTOR, Tables(daemons={DESCRIPTOR.id: daemon_entry(DESCRIPTOR.id, incarnation=7)})
        )
        self.command_client = RecordingClient()
        self.shutdown = GracefulShutdown(
            self.node_state,
            self.command_client,
            SimpleNamespace(is_leaving=False),
            ShutdownTimeouts(2500 * MILLISECOND, 2000 * MILLISECOND, 600 * MILLISECOND),
        )
        self.in_flight = 0
        self.shutdown.in_flight = lambda: self.in_flight
        self.request(0)

    def request(self, now, requested_at=None):
        self.shutdown.step(ShutdownRequested(requested_at), now)

    def until(self, stage, since_ms=0):
        return next(
            now
            for now in range(since_ms, 20_000, 20)
            if self.shutdown.step(Tick(), now * MILLISECOND) and self.shutdown.stage is stage
        )

    def test_idle_it_is_gone_soon_after_the_drain(self):
        self.assertTrue(self.node_state.is_draining)
        self.assertEqual(
            (2500, 2600, 3200),
            (
                self.until(ShutdownStage.FINISHING),
                self.until(ShutdownStage.LEAVING),
                self.until(ShutdownStage.STOPPED),
            ),
        )
        self.assertEqual(
            [DrainDaemon(DESCRIPTOR.id, 7), RemoveDaemon(DESCRIPTOR.id, 7)],
            self.command_client.operations,
        )

    def test_whoever_has_left_the_log_need_not_wait(self):
        self.until(ShutdownStage.LEAVING)
        self.node_state.tables = Tables()
        self.shutdown.step(Tick(), 2700 * MILLISECOND)
        self.assertIs(ShutdownStage.STOPPED, self.shutdown.stage)

    def test_a_request_in_flight_is_waited_for_and_no_longer_than_the_spans(self):
        self.in_flight = 1
        self.assertEqual(
            (4500, 5500), (self.until(ShutdownStage.LEAVING), self.until(ShutdownStage.STOPPED))
        )

    def test_one_more_request_on_a_persistent_connection_while_it_leaves_is_waited_for(self):
        self.until(ShutdownStage.LEAVING)
        self.in_flight = 1
        self.assertEqual(5500, self.until(ShutdownStage.STOPPED))

    def test_one_that_has_left_the_log_goes_on_with_its_last_requests(self):
        """Guards against LOST of review/3: requests cut as soon as the log had removed the edge."""
        self.in_flight = 1
        self.until(ShutdownStage.LEAVING)
        self.node_state.tables = Tables()
        self.assertEqual(5500, self.until(ShutdownStage.STOPPED))

    def test_the_last_response_has_the_time_to_leave_the_machine(self):
        """Guards against LOST: a process that ends within the tick in which it answered."""
        self.in_flight = 1
        self.until(ShutdownStage.LEAVING)
        self.node_state.tables = Tables()
        self.shutdown.step(Tick(), 4700 * MILLISECOND)
        self.in_flight = 0
        self.assertEqual(4800, self.until(ShutdownStage.STOPPED, 4720))

    def test_what_is_left_of_the_grace_counts_from_the_signal_however_late_it_is_noticed(self):
        """Guards against LOST: requests that a daemon takes late and is killed with."""
        for noticed_ms, finishing_ms in ((1000, 2500), (3000, 3000)):
            with self.subTest(noticed_ms=noticed_ms):
                self.setUp()
                self.shutdown.stage = ShutdownStage.SERVING
                self.request(noticed_ms * MILLISECOND, requested_at=0)
                self.in_flight = 1
                self.assertEqual(
                    (finishing_ms, 5500),
                    (
                        self.until(ShutdownStage.FINISHING, noticed_ms),
                        self.until(ShutdownStage.STOPPED, noticed_ms),
                    ),
                )


if __name__ == "__main__":
    unittest.main()
