"""What the log answers to changes of the voters and to malformed operations."""

import json
import unittest
from dataclasses import replace

from tests.support.entries import daemon_entry, member
from willowpost.state.apply import StateMachine, apply_operation, recorded_results
from willowpost.state.codec import encode_operation
from willowpost.state.entries import FailureVerdict, PreviousVoters
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import EvacuateZone, OfferVoter, ReplaceVoter
from willowpost.state.tables import Tables
from willowpost.wire.messages import Command, Decision


def store(name, zone):
    return daemon_entry(name, zone=zone)


class MembershipOperations(unittest.TestCase):
    def setUp(self):
        voters = tuple(member(name, zone) for name, zone in zip("ABC", "abc", strict=False))
        daemons = {name: store(name, zone) for name, zone in zip("ABCDE", "abcab", strict=False)}
        self.tables = Tables(slot=9, epoch=1, voters=voters, daemons=daemons)

    def ask(self, tables, learner, max_voters=5, incarnation=1):
        return apply_operation(tables, OfferVoter(learner, incarnation, max_voters))

    def after(self, tables, *learners, **more):
        for learner in learners:
            tables, result = self.ask(tables, learner, **more)
        return tables, result

    def changed(self, daemon, **attributes):
        daemons = self.tables.daemons
        return {**daemons, daemon: replace(daemons[daemon], **attributes)}

    def replaced(self, tables, learner):
        """Whether the log lets this learner replace C."""
        return apply_operation(tables, ReplaceVoter("C", learner)).result.is_accepted

    def with_daemons(self, daemons):
        return replace(self.tables, daemons=daemons)

    def test_the_second_offer_lets_both_in(self):
        tables, result = self.ask(self.tables, "D")
        self.assertEqual((1, 3, False), (tables.epoch, len(tables.voters), result.is_accepted))
        tables, result = self.ask(tables, "E")
        self.assertEqual(
            (2, "ABCED", True),
            (tables.epoch, "".join(voter.name for voter in tables.voters), result.is_accepted),
        )
        self.assertEqual(PreviousVoters(9, self.tables.voters), tables.previous_voters)

    def test_whoever_may_not(self):
        for learner, more in (("A", {}), ("D", {"incarnation": 2}), ("Z", {})):
            self.assertEqual(
                (self.tables, False),
                (
                    self.ask(self.tables, learner, **more).tables,
                    self.ask(self.tables, learner, **more).result.is_accepted,
                ),
            )
        for tables in (
            self.with_daemons(self.changed("B", state=DaemonState.LOST)),
            self.with_daemons(self.changed("B", state=DaemonState.DRAINING)),
            self.with_daemons(
                {name: entry for name, entry in self.tables.daemons.items() if name != "B"}
            ),
            self.with_daemons(self.changed("D", state=DaemonState.LOST)),
            self.with_daemons(self.changed("D", name="A")),
            self.with_daemons(self.changed("D", name="E")),
            self.with_daemons(self.changed("D", address="C")),
            self.with_daemons({**self.changed("D", zone="a"), "E": store("E", "a")}),
        ):
            self.assertFalse(self.after(tables, "D", "E")[1].is_accepted)
        self.assertFalse(self.after(self.tables, "D", "E", max_voters=3)[1].is_accepted)
        self.assertFalse(self.after(self.tables, "D", "D")[1].is_accepted)
        registry = self.with_daemons(self.changed("D", kind="registry"))
        self.assertFalse(self.after(registry, "D", "E")[1].is_accepted)

    def test_a_malformed_op_ends_nobody(self):
        for op in (
            {"op": "add_voters"},
            {"op": "add_voters", "learner": "D", "incarnation": 1, "most": "many"},
            {"op": "replace_voter", "old": [], "new": 7},
            {"op": ["add_voters"]},
            "add_voters",
            None,
            {"op": "join", "daemon": 3},
        ):
            body = json.dumps([op, encode_operation(EvacuateZone("z", is_evacuated=True))])
            command = Command("r", 1, 1, 1, body)
            tables = StateMachine().apply(self.tables, Decision(9, command.key, command))
            self.assertEqual((10, True), (tables.slot, "z" in tables.zone_evacuations))
            malformed = recorded_results(tables, Command("r", 1, 1)).results[0]
            self.assertEqual(False, malformed.is_accepted, op)

    def test_an_offer_from_before_a_loss_is_void(self):
        tables, _ = self.ask(self.tables, "D")
        tables = replace(
            tables,
            slot=11,
            failure_verdicts=(
                FailureVerdict(
                    slot=10, daemon="D", name="D", kind="store", zone="a", repaired_slot=11
                ),
            ),
        )
        self.assertFalse(self.ask(tables, "E")[1].is_accepted)
        self.assertTrue(self.after(tables, "E", "D")[1].is_accepted)

    def test_the_zone_rule_follows_f_and_few_zones_get_no_worse(self):
        lost = self.with_daemons({**self.changed("C", state=DaemonState.LOST)})
        self.assertFalse(self.replaced(lost, member("D", "a")), "two of three in one zone")
        self.assertTrue(self.replaced(lost, member("D", "d")))
        narrow = replace(
            lost,
            voters=tuple(member(name, zone) for name, zone in zip("ABC", "aab", strict=False)),
        )
        self.assertTrue(self.replaced(narrow, member("D", "b")))
        self.assertFalse(self.replaced(narrow, member("D", "a")))


if __name__ == "__main__":
    unittest.main()
