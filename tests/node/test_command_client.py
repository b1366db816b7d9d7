"""What a command client makes of the outcomes that stores answer."""

import json
import unittest
from dataclasses import asdict

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick, WithdrawSubmission
from willowpost.node.command_client import CommandClient, SubmissionOutcome
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.join import FleetJoin
from willowpost.state.entries import DaemonDescriptor, DaemonEntry
from willowpost.state.operations import EndOrigin
from willowpost.state.results import Accepted
from willowpost.state.tables import Tables
from willowpost.wire.messages import CommandAccepted, SubmitCommand


class Outcomes(unittest.TestCase):
    def setUp(self):
        self.client = CommandClient("d", 10, lambda: ["s:1"], lambda: 5)
        for token in (1, 2):
            self.client.step(SubmitOperations(token, (EndOrigin(str(token)),)), 0)
        ((_, submitted),) = self.client.step(Tick(), 10 * MILLISECOND).sends
        self.command = submitted.command

    def answer(self, text):
        accepted = CommandAccepted(self.command.key, 9, text)
        return self.client.step(Received("s:1", accepted), 20 * MILLISECOND)

    def test_each_caller_gets_the_results_of_its_own_operations(self):
        plan = self.answer('[{"ok": true}, {"ok": true}]')
        outcome = SubmissionOutcome(9, (Accepted(),))
        self.assertEqual([(1, outcome), (2, outcome)], plan.replies)

    def test_results_that_the_log_has_dropped_are_not_known(self):
        plan = self.answer("null")
        outcome = SubmissionOutcome(9, None)
        self.assertEqual([(1, outcome), (2, outcome)], plan.replies)

    def test_a_barred_command_is_submitted_anew_above_the_incarnation_that_barred_it(self):
        self.client.step(WithdrawSubmission(1), 15 * MILLISECOND)
        plan = self.answer('{"barred": 50}')
        self.assertEqual([], plan.replies)
        ((address, renewed),) = plan.sends
        self.assertIsInstance(renewed, SubmitCommand)
        self.assertEqual("s:1", address)
        self.assertEqual(self.command.body, renewed.command.body)
        self.assertEqual(51, renewed.command.incarnation)
        self.assertGreater(renewed.command.stamp, self.command.stamp)
        self.command = renewed.command
        replies = self.answer('[{"ok": true}, {"ok": true}]').replies
        self.assertEqual([(2, SubmissionOutcome(9, (Accepted(),)))], replies)


class Repeats(unittest.TestCase):
    """Operations that nobody waits for are in one unanswered command at most.

    Soak seed 44 on a slow disk: daemons that joined, and watchers that suspected, submitted the
    same anew each second. The log fell 40 s behind, and no change was accepted any more.
    """

    LIFETIME_US = 2 * SECOND

    def setUp(self):
        self.client = CommandClient("d", 10, lambda: ["s:1"], lambda: 5)
        self.submitted: list[SubmitCommand] = []

    def step(self, event, now):
        plan = self.client.step(event, now)
        self.submitted += [message for _, message in plan.sends]

    def run_ticks(self, start, end):
        for now in range(start, end, 20 * MILLISECOND):
            self.step(Tick(), now)

    def keys(self):
        return {message.command.key for message in self.submitted}

    def submit_each_second(self, seconds, lifetime=None, start=0):
        for second in range(start, start + seconds):
            self.step(SubmitOperations(None, (EndOrigin("x"),), lifetime), second * SECOND)
            self.run_ticks(second * SECOND, (second + 1) * SECOND)

    def test_an_unanswered_operation_is_submitted_under_one_key(self):
        for lifetime in (None, self.LIFETIME_US):
            with self.subTest(lifetime=lifetime):
                self.setUp()
                self.submit_each_second(20, lifetime)
                self.assertEqual(1, len(self.keys()))
                self.assertGreater(len(self.submitted), 40)  # each 400 ms, to some store

    def test_its_lifetime_is_renewed_and_ends(self):
        self.submit_each_second(5, self.LIFETIME_US)
        self.submitted.clear()
        self.run_ticks(5 * SECOND, 6 * SECOND)
        self.assertEqual(1, len(self.keys()))
        self.submitted.clear()
        self.run_ticks(6 * SECOND + 400 * MILLISECOND, 20 * SECOND)
        self.assertEqual([], self.submitted)

    def test_once_it_was_answered_it_is_submitted_anew(self):
        self.submit_each_second(1)
        accepted = CommandAccepted(next(iter(self.keys())), 9, '[{"ok": true}]')
        self.step(Received("s:1", accepted), SECOND)
        self.submit_each_second(1, start=1)
        self.assertEqual(2, len(self.keys()))

    def test_other_operations_and_those_of_callers_are_submitted_each(self):
        for token, name in ((None, "x"), (None, "y"), (1, "x"), (2, "x")):
            self.step(SubmitOperations(token, (EndOrigin(name),)), 0)
            self.run_ticks(0, 30 * MILLISECOND)
        operations = [
            operation
            for message in {message.command.key: message for message in self.submitted}.values()
            for operation in json.loads(message.command.body)
        ]
        self.assertEqual(["x", "x", "x", "y"], sorted(one["token"] for one in operations))


class DaemonsBesideASlowLog(unittest.TestCase):
    """What a daemon submits while the log decides nothing for 20 s."""

    def commands(self, make_controller):
        client = CommandClient("d", 10, lambda: ["s:1"], lambda: 5)
        controller = make_controller(client)
        keys = set()
        for now in range(0, 20 * SECOND, 20 * MILLISECOND):
            for one in (controller, client):
                keys |= {
                    message.command.key
                    for _, message in one.step(Tick(), now).sends
                    if isinstance(message, SubmitCommand)
                }
        return keys

    def descriptor(self, name):
        return DaemonDescriptor(name, "proxy", "edge", name, "a", f"{name}:1", f"{name}:2", 10)

    def test_a_daemon_that_joins_submits_one_command(self):
        own = self.descriptor("d")
        tables = Tables(epoch=1)
        self.assertEqual(
            1, len(self.commands(lambda client: FleetJoin(own, lambda: tables, client)))
        )

    def test_a_watcher_submits_one_report_of_each_daemon(self):
        names = ("d", "e", "f")
        daemons = {name: DaemonEntry(**asdict(self.descriptor(name))) for name in names}
        tables = Tables(epoch=1, daemons=daemons)
        found = self.commands(
            lambda client: FailureDetector(self.descriptor("d"), lambda: tables, client)
        )
        self.assertIn(len(found), (1, 2))  # both may be in one command


if __name__ == "__main__":
    unittest.main()
