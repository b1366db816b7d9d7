"""Whom a watcher suspects, and what it reports to the log."""

import unittest
from dataclasses import replace

from tests.support.entries import daemon_entry
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.node.failure_detector import (
    REPORT_INTERVAL_US,
    SUSPECT_AFTER_US,
    FailureDetector,
)
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.operations import ReportSuspicion
from willowpost.state.tables import Tables
from willowpost.wire.messages import Ping, Pong

WATCHER = DaemonDescriptor("w", "proxy", "edge", "w", "a", "w:1", "w:2", 7)
TICK_US = 20 * MILLI


class RecordingClient:
    def __init__(self):
        self.operations = []

    def step(self, event, now):
        self.operations += event.operations
        return Plan()


class Watching(unittest.TestCase):
    def setUp(self):
        entries = (
            daemon_entry("w", zone="a", address="w:1", incarnation=7),
            daemon_entry("t", zone="b", address="t:1", incarnation=3),
        )
        self.tables = Tables(slot=5, epoch=1, daemons={entry.id: entry for entry in entries})
        self.client = RecordingClient()
        self.detector = FailureDetector(WATCHER, lambda: self.tables, self.client)
        self.now = SECOND
        self.log_entries = []

    def run_for(self, span, answers=False):
        """Tick for `span` µs; the target answers each ping at once, or none."""
        for _ in range(0, span, TICK_US):
            self.now += TICK_US
            plan = self.detector.step(Tick(), self.now)
            self.log_entries += plan.log_entries
            for address, message in plan.sends:
                if answers and isinstance(message, Ping):
                    self.detector.step(Received(address, Pong(message.nonce, "t@3")), self.now)

    def report(self, is_suspected):
        return ReportSuspicion("t", incarnation=3, watcher="w", is_suspected=is_suspected)

    def test_a_daemon_that_answers_is_not_suspected(self):
        self.run_for(5 * SECOND, answers=True)
        self.assertEqual([], self.client.operations)

    def test_a_daemon_without_a_pong_is_reported_again_until_the_log_has_it(self):
        self.run_for(SUSPECT_AFTER_US)
        self.assertEqual([], self.client.operations)
        self.run_for(SECOND)
        self.assertEqual([self.report(True)], self.client.operations)
        self.run_for(REPORT_INTERVAL_US + SECOND // 2)
        self.assertEqual([self.report(True)] * 2, self.client.operations)
        self.tables = replace(self.tables, suspicions={"t": frozenset({"w"})})
        self.run_for(3 * SECOND)
        self.assertEqual([self.report(True)] * 2, self.client.operations)

    def test_a_suspicion_is_withdrawn_once_the_daemon_answers(self):
        self.tables = replace(self.tables, suspicions={"t": frozenset({"w"})})
        self.run_for(SECOND, answers=True)
        self.assertEqual([self.report(False)], self.client.operations)
        self.assertEqual(
            [
                (
                    "failure_detector",
                    "daemon no longer suspected",
                    {"daemon": "t", "incarnation": 3},
                )
            ],
            self.log_entries,
        )

    def test_after_a_freeze_of_its_own_nobody_is_suspected_at_once(self):
        self.run_for(SECOND, answers=True)
        self.now += 10 * SECOND
        self.run_for(SUSPECT_AFTER_US)
        self.assertEqual([], self.client.operations)


if __name__ == "__main__":
    unittest.main()
