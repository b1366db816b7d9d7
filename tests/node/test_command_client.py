"""What a command client makes of the outcomes that stores answer."""

import unittest

from willowpost.common.clock import MILLI
from willowpost.common.events import Received, SubmitOperations, Tick, WithdrawSubmission
from willowpost.node.command_client import CommandClient, SubmissionOutcome
from willowpost.state.operations import EndOrigin
from willowpost.state.results import Accepted
from willowpost.wire.messages import CommandAccepted, SubmitCommand


class Outcomes(unittest.TestCase):
    def setUp(self):
        self.client = CommandClient("d", 10, lambda: ["s:1"], lambda: 5)
        for token in (1, 2):
            self.client.step(SubmitOperations(token, (EndOrigin(str(token)),)), 0)
        ((_, submitted),) = self.client.step(Tick(), 10 * MILLI).sends
        self.command = submitted.command

    def answer(self, text):
        accepted = CommandAccepted(self.command.key, 9, text)
        return self.client.step(Received("s:1", accepted), 20 * MILLI)

    def test_each_caller_gets_the_results_of_its_own_operations(self):
        plan = self.answer('[{"ok": true}, {"ok": true}]')
        outcome = SubmissionOutcome(9, (Accepted(),))
        self.assertEqual([(1, outcome), (2, outcome)], plan.replies)

    def test_results_that_the_log_has_dropped_are_not_known(self):
        plan = self.answer("null")
        outcome = SubmissionOutcome(9, None)
        self.assertEqual([(1, outcome), (2, outcome)], plan.replies)

    def test_a_barred_command_is_submitted_anew_above_the_incarnation_that_barred_it(self):
        self.client.step(WithdrawSubmission(1), 15 * MILLI)
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


if __name__ == "__main__":
    unittest.main()
