"""A log of an earlier build makes the same tables, answers and refusals slot by slot."""

import json
import unittest
from pathlib import Path

from willowpost.consensus.replica.records import decision_from, decision_record
from willowpost.state.apply import StateMachine
from willowpost.state.tables import tables_from

DATA = Path(__file__).parent.parent / "data" / "bf1d9c7"
# Fields that texts of earlier builds may lack, with what they are read as.
NEWER = {"ended": [], "changes": [], "bound": {}, "seen_floor": 0, "purge_floor": 0}


def texts():
    """The texts of the tables in the data."""
    yield from json.loads((DATA / "operations-tables.json").read_text())["texts"].values()
    for path in sorted(DATA.glob("stores/*/tables.json")):
        yield path.read_text()


class Operations(unittest.TestCase):
    def applied(self, name):
        """Apply a log and return how many slots it has."""
        held = json.loads((DATA / f"{name}-tables.json").read_text())
        tables = tables_from(held["start"])
        self.assertEqual(held["start"], tables.text())
        lines = (DATA / f"{name}.jsonl").read_text().splitlines()
        for line in map(json.loads, lines):
            decision, digest = decision_from(line), line.pop("digest")
            self.assertEqual(line, json.loads(json.dumps(decision_record(decision))))
            tables = StateMachine().apply(tables, decision)
            text = held["texts"].get(str(line["slot"] + 1))
            if text is not None:
                self.assertEqual(json.loads(text), json.loads(tables.text()))
                self.assertEqual(text, tables.text())
            self.assertEqual(digest, tables.digest(), line)
        return len(lines)

    def test_every_operation_has_the_same_effect_and_answer(self):
        self.assertEqual(429, self.applied("operations"))

    def test_the_same_is_forgotten_at_the_limits_of_the_tables(self):
        self.assertEqual(15, self.applied("limits"))


class Snapshots(unittest.TestCase):
    def test_each_text_is_read_and_written_as_it_was(self):
        count = 0
        for text in texts():
            self.assertEqual(text, tables_from(text).text())
            count += 1
        self.assertEqual(15, count)

    def test_a_text_without_newer_fields_is_read_with_their_defaults(self):
        for text in texts():
            held = json.loads(text)
            earlier = {name: value for name, value in held.items() if name not in NEWER}
            self.assertLess(len(earlier), len(held))
            read = tables_from(json.dumps(earlier)).text()
            self.assertEqual({**held, **NEWER}, json.loads(read))


if __name__ == "__main__":
    unittest.main()
