"""What the log answers to add_voters, replace_voter and malformed operations."""

import json
import unittest
from dataclasses import replace

from willowpost.state.apply import StateMachine, answer_of
from willowpost.state.apply.voters import add_voters, replace_voter
from willowpost.state.tables import Tables
from willowpost.wire.messages import Command, Decision


def store(name, zone, state="up", **more):
    return {
        "id": name,
        "kind": "store",
        "name": name,
        "zone": zone,
        "address": name,
        "incarnation": 1,
        "state": state,
        **more,
    }


def member(name, zone):
    return {"identity": name, "name": name, "zone": zone, "address": name}


class MembershipOperations(unittest.TestCase):
    def setUp(self):
        core = tuple(member(name, zone) for name, zone in zip("ABC", "abc", strict=False))
        daemons = {name: store(name, zone) for name, zone in zip("ABCDE", "abcab", strict=False)}
        self.tables = Tables(slot=9, epoch=1, core=core, daemons=daemons)

    def ask(self, tables, learner, most=5, incarnation=1):
        return add_voters(
            tables,
            {"op": "add_voters", "learner": learner, "incarnation": incarnation, "most": most},
        )

    def after(self, tables, *learners, **more):
        for learner in learners:
            tables, answer = self.ask(tables, learner, **more)
        return tables, answer

    def changed(self, daemon, **card):
        return {**self.tables.daemons, daemon: {**self.tables.daemons[daemon], **card}}

    def with_daemons(self, daemons):
        return replace(self.tables, daemons=daemons)

    def test_the_second_offer_lets_both_in(self):
        tables, answer = self.ask(self.tables, "D")
        self.assertEqual((1, 3, False), (tables.epoch, len(tables.core), answer["ok"]))
        tables, answer = self.ask(tables, "E")
        self.assertEqual(
            (2, "ABCED", True),
            (tables.epoch, "".join(held["name"] for held in tables.core), answer["ok"]),
        )
        self.assertEqual({"slot": 9, "core": list(self.tables.core)}, tables.former)

    def test_whoever_may_not(self):
        for learner, more in (("A", {}), ("D", {"incarnation": 2}), ("Z", {})):
            self.assertEqual(
                (self.tables, False),
                (
                    self.ask(self.tables, learner, **more)[0],
                    self.ask(self.tables, learner, **more)[1]["ok"],
                ),
            )
        for tables in (
            self.with_daemons(self.changed("B", state="lost")),
            self.with_daemons(self.changed("B", state="draining")),
            self.with_daemons(
                {name: card for name, card in self.tables.daemons.items() if name != "B"}
            ),
            self.with_daemons(self.changed("D", state="lost")),
            self.with_daemons(self.changed("D", name="A")),
            self.with_daemons(self.changed("D", name="E")),
            self.with_daemons(self.changed("D", address="C")),
            self.with_daemons({**self.changed("D", zone="a"), "E": store("E", "a")}),
        ):
            self.assertFalse(self.after(tables, "D", "E")[1]["ok"])
        self.assertFalse(self.after(self.tables, "D", "E", most=3)[1]["ok"])
        self.assertFalse(self.after(self.tables, "D", "D")[1]["ok"])
        registry = self.with_daemons(self.changed("D", kind="registry"))
        self.assertFalse(self.after(registry, "D", "E")[1]["ok"])

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
            body = json.dumps([op, {"op": "zone", "zone": "z", "empty": True}])
            tables = StateMachine().apply(self.tables, Decision(9, "r/1/1", Command("r", 1, 1, 1, body)))
            self.assertEqual((10, True), (tables.slot, "z" in tables.zones))
            self.assertEqual(False, answer_of(tables, Command("r", 1, 1))[1][0]["ok"], op)

    def test_an_offer_from_before_a_loss_is_void(self):
        tables, _ = self.ask(self.tables, "D")
        tables = replace(
            tables,
            slot=11,
            failure_verdicts=(
                {
                    "slot": 10,
                    "daemon": "D",
                    "name": "D",
                    "kind": "store",
                    "zone": "a",
                    "repaired": 11,
                },
            ),
        )
        self.assertFalse(self.ask(tables, "E")[1]["ok"])
        self.assertTrue(self.after(tables, "E", "D")[1]["ok"])

    def test_the_zone_rule_follows_f_and_few_zones_get_no_worse(self):
        lost = self.with_daemons({**self.changed("C", state="lost")})
        self.assertFalse(
            replace_voter(lost, {"old": "C", "new": member("D", "a")})[1]["ok"],
            "two of three in one zone",
        )
        self.assertTrue(replace_voter(lost, {"old": "C", "new": member("D", "d")})[1]["ok"])
        narrow = replace(
            lost, core=tuple(member(name, zone) for name, zone in zip("ABC", "aab", strict=False))
        )
        self.assertTrue(replace_voter(narrow, {"old": "C", "new": member("D", "b")})[1]["ok"])
        self.assertFalse(replace_voter(narrow, {"old": "C", "new": member("D", "a")})[1]["ok"])


if __name__ == "__main__":
    unittest.main()
