"""The transitions between the stages of a graceful shutdown."""

import unittest

from willowpost.common.errors import WillowpostError
from willowpost.node import graceful_shutdown
from willowpost.node.graceful_shutdown import ShutdownStage
from willowpost.node.staged_shutdown import InvalidTransitionError, StagedShutdown
from willowpost.store import graceful_shutdown as store_shutdown
from willowpost.store.graceful_shutdown import StoreShutdownStage


class Staged(StagedShutdown[ShutdownStage]):
    transitions = graceful_shutdown.TRANSITIONS


class Transitions(unittest.TestCase):
    def test_a_stage_that_cannot_follow_is_an_error_and_changes_nothing(self):
        shutdown = Staged(ShutdownStage.SERVING)
        with self.assertRaises(InvalidTransitionError) as raised:
            shutdown._enter_stage(ShutdownStage.LEAVING)
        self.assertIsInstance(raised.exception, WillowpostError)
        self.assertIsInstance(raised.exception, ValueError)
        self.assertIs(ShutdownStage.SERVING, shutdown.stage)

    def test_it_is_stopped_in_the_last_stage_alone(self):
        shutdown = Staged(ShutdownStage.SERVING)
        for stage in list(ShutdownStage)[1:]:
            self.assertFalse(shutdown.is_stopped)
            shutdown._enter_stage(stage)
        self.assertTrue(shutdown.is_stopped)

    def test_each_stage_has_its_transitions_and_only_the_last_one_none(self):
        for stages, transitions in (
            (ShutdownStage, graceful_shutdown.TRANSITIONS),
            (StoreShutdownStage, store_shutdown.TRANSITIONS),
        ):
            self.assertEqual(set(stages), set(transitions))
            self.assertEqual(
                [list(stages)[-1]], [stage for stage in stages if not transitions[stage]]
            )


if __name__ == "__main__":
    unittest.main()
