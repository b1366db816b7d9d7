"""A store starts from a folder of an earlier build, and writes what that build would have."""

import shutil
import tempfile
import unittest
from pathlib import Path

from willowpost.consensus.replica import restoration
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.shell.disk import Disk
from willowpost.shell.segment_format import encode_segment
from willowpost.wire.messages import Member

STORES = Path(__file__).parent.parent / "data" / "bf1d9c7" / "stores"
KINDS = {
    "identity",
    "bootstrap_promise",
    "found",
    "snapshot",
    "kept",
    "decision",
    "ballot_state",
    "passed",
}


class StoreFolders(unittest.TestCase):
    def loaded(self, store):
        """The records of a copy of a store's folder; a start changes the folder."""
        with tempfile.TemporaryDirectory() as folder:
            copied = shutil.copytree(store / "data", Path(folder) / "data")
            return Disk(str(copied)).load()

    def restored(self, records):
        """The state of a store that starts with these records."""
        first = records[0]
        me = Member(first["identity"], first["name"], first["zone"], first["address"])
        state = ReplicaState(me)
        restoration.restore_state(state, records, 0)
        return state

    def test_each_folder_gives_the_same_tables_and_the_same_next_segment(self):
        stores = sorted(STORES.iterdir())
        self.assertEqual(10, len(stores))
        for store in stores:
            with self.subTest(store=store.name):
                state = self.restored(self.loaded(store))
                self.assertEqual((store / "tables.json").read_text(), state.tables.text())
                self.assertEqual(
                    (store / "rewritten.wp").read_bytes(), encode_segment(state.segment_records())
                )

    def test_the_folders_hold_every_kind_of_record(self):
        records = [record for store in STORES.iterdir() for record in self.loaded(store)]
        self.assertEqual(KINDS, {record["k"] for record in records})
        ballots = [record for record in records if record["k"] == "ballot_state"]
        for kinds in (
            {bool(record["command"]) for record in ballots},
            {bool(record.get("agreed")) for record in ballots},
            {"agreed" in record for record in ballots},
            {bool(record["command"]) for record in records if record["k"] == "decision"},
        ):
            self.assertEqual({True, False}, kinds)

    def test_of_a_torn_tail_nothing_comes_back(self):
        self.assertEqual(self.loaded(STORES / "decided"), self.loaded(STORES / "torn"))


if __name__ == "__main__":
    unittest.main()
