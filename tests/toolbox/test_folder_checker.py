"""The folder checker reports issues with their location; the replay gives any slot's tables."""

import os
import tempfile
import unittest

from willowpost.shell.segment_format import encode_segment
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.operations import EvacuateZone
from willowpost.toolbox.folder_checker import FolderChecker
from willowpost.toolbox.log_replay import LogReplay


class FolderCheckerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        world = CoreWorld(11)
        world.until(world.bootstrapped, seconds(5))
        world.add_caller("r", list(world.names))
        for number in range(12):
            world.ask("r", EvacuateZone(f"z{number}", is_evacuated=True))
            world.run(seconds(0.2))
        cls.records = world.seats["s0"].disk.records
        cls.tables = world.seats["s0"].node.node_state.tables

    def folder(self, data):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        with open(os.path.join(directory.name, "segment-000000000001.wp"), "wb") as file:
            file.write(data)
        return directory.name

    def segment_data(self, records=None):
        return encode_segment(records or self.records)

    def test_a_valid_folder_has_no_issue_and_replays_to_the_running_tables(self):
        folder = self.folder(self.segment_data())
        report = FolderChecker().check(folder)
        self.assertEqual(((), self.tables.slot), (report.issues, report.facts.next_slot))
        self.assertEqual(self.tables.digest(), LogReplay().run(folder).digest())

    def test_replay_stops_at_any_slot(self):
        folder = self.folder(self.segment_data())
        for slot in range(1, self.tables.slot):
            self.assertEqual(slot, LogReplay().run(folder, slot).slot)
        with self.assertRaises(ValueError):
            LogReplay().run(folder, self.tables.slot + 1)

    def test_each_damage_is_reported_with_its_location(self):
        decisions = [
            number for number, record in enumerate(self.records) if record["k"] == "decision"
        ]
        ballot_states = [
            number
            for number, record in enumerate(self.records)
            if record["k"] == "ballot_state" and record["votes"]
        ]
        missing_decision = self.records[: decisions[3]] + self.records[decisions[3] + 1 :]
        contradicting = list(self.records)
        contradicting.insert(
            ballot_states[-1] + 1,
            {
                **contradicting[ballot_states[-1]],
                "votes": [1 - contradicting[ballot_states[-1]]["votes"][0]],
            },
        )
        data = bytearray(self.segment_data())
        data[len(data) // 2] ^= 1
        for broken, words in (
            (self.segment_data(missing_decision), "is due"),
            (self.segment_data(contradicting), "unsays"),
            (bytes(data), "bad record"),
            (self.segment_data()[:-5], "torn tail"),
            (b"", "no sound header"),
            (encode_segment([]), "not an identity"),
        ):
            issues = FolderChecker().check(self.folder(broken)).issues
            self.assertTrue(any(words in issue.description for issue in issues), (words, issues))


if __name__ == "__main__":
    unittest.main()
