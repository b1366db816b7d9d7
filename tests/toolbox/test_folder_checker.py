"""The folder checker finds what is wrong, with its place; the replay gives the tables of any slot."""

import os
import tempfile
import unittest

from willowpost.shell.segment_format import encode_segment
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.operations import EvacuateZone
from willowpost.toolbox.folder import FolderChecker, LogReplay


class Folders(unittest.TestCase):
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
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        with open(os.path.join(held.name, "segment-000000000001.wp"), "wb") as file:
            file.write(data)
        return held.name

    def whole(self, records=None):
        return encode_segment(records or self.records)

    def test_a_sound_folder_has_no_finding_and_replays_to_the_running_tables(self):
        folder = self.folder(self.whole())
        findings, facts = FolderChecker().check(folder)
        self.assertEqual(([], self.tables.slot), (findings, facts["slot"]))
        self.assertEqual(self.tables.digest(), LogReplay().run(folder).digest())

    def test_replay_stops_at_any_slot(self):
        folder = self.folder(self.whole())
        for slot in range(1, self.tables.slot):
            self.assertEqual(slot, LogReplay().run(folder, slot).slot)
        with self.assertRaises(ValueError):
            LogReplay().run(folder, self.tables.slot + 1)

    def test_each_damage_is_told_with_its_place(self):
        decisions = [
            number for number, record in enumerate(self.records) if record["k"] == "decision"
        ]
        ballot_states = [
            number
            for number, record in enumerate(self.records)
            if record["k"] == "ballot_state" and record["votes"]
        ]
        gone = self.records[: decisions[3]] + self.records[decisions[3] + 1 :]
        unsaid = list(self.records)
        unsaid.insert(
            ballot_states[-1] + 1,
            {**unsaid[ballot_states[-1]], "votes": [1 - unsaid[ballot_states[-1]]["votes"][0]]},
        )
        data = bytearray(self.whole())
        data[len(data) // 2] ^= 1
        for broken, words in (
            (self.whole(gone), "is due"),
            (self.whole(unsaid), "unsays"),
            (bytes(data), "bad record"),
            (self.whole()[:-5], "torn tail"),
            (b"", "no sound header"),
            (encode_segment([]), "not an identity"),
        ):
            findings, _ = FolderChecker().check(self.folder(broken))
            self.assertTrue(
                any(words in finding.finding for finding in findings), (words, findings)
            )


if __name__ == "__main__":
    unittest.main()
