"""The metrics page of a store: its log, its votes and its disk."""

import errno
import tempfile
import unittest
from unittest.mock import Mock, patch

from tests.support.metrics_page import fetch, value_of
from willowpost.common.clock import SECOND
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.shell.disk import Disk
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.retrying_disk import RetryingDisk
from willowpost.store.daemon import StoreDaemon
from willowpost.store.metrics import StoreMetrics
from willowpost.wire.messages import Command, Decision, Member

MEMBER = Member("i", "n", "a", "127.0.0.1:1")


class StorePage(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.state = ReplicaState(MEMBER)
        self.now = 0
        self.disk = Disk(self.folder)
        self.retrying_disk = RetryingDisk(self.disk, Mock(), wait=lambda seconds: None)
        source = StoreMetrics(
            self.state, self.disk, self.retrying_disk.write_durations, {}, lambda: self.now
        )
        self.page = MetricsPage(source)

    def value(self, name):
        return value_of(self.page, name)

    def test_decisions_and_votes(self):
        self.assertEqual(0, self.value("voter"))
        self.state.enter_first_epoch((MEMBER,))
        self.state.apply_decision(Decision(0, "", None))
        self.state.statistics.count_verdict(phase=1)
        self.assertEqual(1, self.value("voter"))
        self.assertEqual(1, self.value("log_slot"))
        self.assertEqual(1, self.value("log_epoch"))
        for how in ("all", "forfeited", "by_votes", "first_phase"):
            self.assertEqual(1, self.value(f'decisions_total{{how="{how}"}}'), how)

    def test_commands_that_wait_and_the_ages_of_those_that_were_decided(self):
        for number in (1, 2):
            self.state.pending_commands.push(Command("d", 1, number, number, "[]"), number * SECOND)
        self.now = 4 * SECOND
        self.assertEqual(2, self.value("pending_commands"))
        self.assertEqual(3, self.value("oldest_pending_seconds"))
        self.state.statistics.decided_ages.add(3 * SECOND)
        self.state.statistics.expired += 1
        self.assertEqual(0, self.value('decided_age_seconds_bucket{le="2.0"}'))
        self.assertEqual(1, self.value('decided_age_seconds_bucket{le="3.0"}'))
        self.assertEqual(1, self.value("expired_commands_total"))

    def test_synced_writes_are_timed_and_failures_that_are_retried_are_one_write(self):
        self.retrying_disk.rotate([{"k": "identity", "identity": "x"}])
        no_space = OSError(errno.ENOSPC, "full")
        with patch("os.fdatasync", side_effect=[no_space, None]):
            self.retrying_disk.append([{"k": "passed", "epoch": 2}])
        self.assertEqual(2, self.value('disk_write_seconds_bucket{le="+Inf"}'))
        self.assertEqual(self.disk.synced_bytes, self.value("segment_bytes"))

    def test_a_daemon_serves_the_page_if_its_settings_name_an_address(self):
        settings = ProcessSettings(
            name="n",
            zone="a",
            address="127.0.0.1:0",
            seeds=("127.0.0.1:1",),
            voters=1,
            data=self.folder,
            metrics="127.0.0.1:0",
        )
        daemon = StoreDaemon(settings, Mock())
        daemon.start()
        self.addCleanup(daemon.runner.mesh.stop)
        self.addCleanup(daemon.runner.task.kill)
        self.addCleanup(daemon.metrics.stop, 0)
        received = fetch(daemon.metrics.server.server_port)
        self.assertIn(b"200 OK", received)
        self.assertIn(b"willowpost_voter ", received)
