"""The dictionary of commands stays bounded, and what was barred stays barred."""

import json
import unittest

from tests.support.entries import daemon_entry
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.node.command_client import CommandClient, SubmissionOutcome
from willowpost.state.apply import StateMachine, is_decided, recorded_results
from willowpost.state.apply.command_history import MAX_ABSENT_DAEMONS
from willowpost.state.codec import encode_operation
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import EvacuateZone
from willowpost.state.results import Accepted
from willowpost.state.tables import Tables
from willowpost.wire.messages import Command, CommandAccepted, Decision

EVACUATION = EvacuateZone("z", is_evacuated=True)
BODY = json.dumps([encode_operation(EVACUATION)])


def run(tables, command):
    return StateMachine().apply(tables, Decision(tables.slot, command.key, command))


def after_daemons(count, tables=Tables(epoch=1)):
    """So many daemons came, said one thing each, and are gone."""
    for number in range(count):
        tables = run(tables, Command(f"d{number}", 1000 + number, 1, 1, BODY))
    return tables


class ForgottenCommands(unittest.TestCase):
    def test_daemons_that_are_gone_do_not_add_up(self):
        few, many = after_daemons(MAX_ABSENT_DAEMONS), after_daemons(3 * MAX_ABSENT_DAEMONS)
        self.assertEqual(
            (MAX_ABSENT_DAEMONS, MAX_ABSENT_DAEMONS),
            (len(few.command_histories), len(many.command_histories)),
        )
        self.assertLess(len(many.text()), 1.1 * len(few.text()))

    def test_daemons_that_are_up_are_never_forgotten(self):
        states = {"d0": DaemonState.UP, "d1": DaemonState.DRAINING, "d2": DaemonState.LOST}
        daemons = {name: daemon_entry(name, state=state) for name, state in states.items()}
        tables = after_daemons(3 * MAX_ABSENT_DAEMONS, Tables(epoch=1, daemons=daemons))
        self.assertEqual(
            ["d0", "d1"], [name for name in daemons if name in tables.command_histories]
        )

    def test_what_ran_or_was_barred_never_runs_again(self):
        tables = after_daemons(3 * MAX_ABSENT_DAEMONS)
        for number in range(3 * MAX_ABSENT_DAEMONS):
            ran = Command(f"d{number}", 1000 + number, 1, 1, BODY)
            self.assertTrue(is_decided(tables, ran))
            self.assertTrue(is_decided(tables, Command(f"d{number}", 999 + number, 7, 1, BODY)))
        before = run(tables, Command("d0", 1000, 1, 1, BODY))
        self.assertEqual(tables.zone_evacuations, before.zone_evacuations)

    def test_a_newcomer_runs_and_one_whose_clock_is_behind_goes_above_the_floor(self):
        tables = after_daemons(3 * MAX_ABSENT_DAEMONS)
        late = Command("new", tables.forgotten_incarnation, 1, 1, BODY)
        self.assertTrue(is_decided(tables, late))
        newcomer = Command("new", tables.forgotten_incarnation + 1, 1, 1, BODY)
        self.assertFalse(is_decided(tables, newcomer))
        recorded = recorded_results(run(tables, newcomer), newcomer)
        self.assertEqual((Accepted(),), recorded.results)

    def test_a_forgotten_daemon_learns_that_its_outcome_is_unknown_and_goes_on(self):
        client = CommandClient("d0", 1000, lambda: ["s:1"], lambda: 5)
        client.step(SubmitOperations(1, (EVACUATION,)), 0)
        client.step(Tick(), 10_000)
        (key,) = client.pending
        plan = client.step(
            Received("s:1", CommandAccepted(key, 9, json.dumps({"forgotten": 5000}))), 20_000
        )
        self.assertEqual([(1, SubmissionOutcome(9, None))], plan.replies)
        self.assertEqual(({}, 5001), (client.pending, client.incarnation))


if __name__ == "__main__":
    unittest.main()
