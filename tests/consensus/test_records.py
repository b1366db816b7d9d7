"""The stored forms of the records on a store's disk."""

import json
import unittest

from willowpost.common.errors import WillowpostError
from willowpost.consensus.replica.record_types import (
    BallotStateRecord,
    BarrierPassedRecord,
    BootstrapPromiseRecord,
    BootstrapVotersRecord,
    DecisionRecord,
    MissingCommandError,
    RetainedDecisionRecord,
    SnapshotRecord,
)
from willowpost.consensus.replica.records import decode_record, encode_record
from willowpost.wire.messages import Command, Member

MEMBER = Member("i1", "m1", "a", "1:1")
STORED_MEMBER = {"identity": "i1", "name": "m1", "zone": "a", "address": "1:1"}
COMMAND = Command("r1", 3, 4, 5, "[]")
STORED_COMMAND = {"daemon": "r1", "incarnation": 3, "counter": 4, "stamp": 5, "body": "[]"}
FORMS = (
    (MEMBER, {"k": "identity", **STORED_MEMBER}),
    (BootstrapPromiseRecord(("x", "y")), {"k": "bootstrap_promise", "members": ["x", "y"]}),
    (BootstrapVotersRecord((MEMBER,)), {"k": "found", "core": [STORED_MEMBER]}),
    (SnapshotRecord("{}", 3, 2), {"k": "snapshot", "text": "{}", "log_floor": 3, "passed": 2}),
    (
        DecisionRecord(6, "r1/3/4", COMMAND),
        {"k": "decision", "slot": 6, "key": "r1/3/4", "command": STORED_COMMAND},
    ),
    (
        RetainedDecisionRecord(6, "", None),
        {"k": "kept", "slot": 6, "key": "", "command": None},
    ),
    (
        BallotStateRecord(2, 6, "r1/3/4", COMMAND, (1,), (1, 2), "r1/3/4"),
        {
            "k": "ballot_state",
            "epoch": 2,
            "slot": 6,
            "proposal": "r1/3/4",
            "command": STORED_COMMAND,
            "states": [1],
            "votes": [1, 2],
            "agreed": "r1/3/4",
        },
    ),
    (BarrierPassedRecord(2), {"k": "passed", "epoch": 2}),
)


class RecordForms(unittest.TestCase):
    def test_each_record_has_its_form_on_disk_in_this_order(self):
        for record, stored in FORMS:
            with self.subTest(kind=stored["k"]):
                text = json.dumps(encode_record(record))
                self.assertEqual(json.dumps(stored), text)
                self.assertEqual(record, decode_record(json.loads(text)))

    def test_a_ballot_state_of_an_earlier_build_names_no_agreed_proposal(self):
        _, stored = FORMS[6]
        del (older := dict(stored))["agreed"]
        self.assertEqual("", decode_record(older).agreed)

    def test_a_decision_without_its_command_takes_the_proposed_one(self):
        record = DecisionRecord(6, COMMAND.key, None)
        self.assertEqual(COMMAND, record.decision(COMMAND).command)
        for proposed in (None, Command("r2", 1, 1)):
            with self.assertRaises(MissingCommandError) as caught:
                record.decision(proposed)
            self.assertIsInstance(caught.exception, WillowpostError)
            self.assertIsInstance(caught.exception, ValueError)

    def test_an_unknown_kind_is_an_error(self):
        with self.assertRaises(KeyError):
            decode_record({"k": "later"})


if __name__ == "__main__":
    unittest.main()
