"""The measurement of history comes to the same bounds at any length of it."""

import os
import tempfile
import unittest

from willowpost.drill.history_size import FolderDisk, HistoryMeasure
from willowpost.shell.disk import segment_names


class HistorySize(unittest.TestCase):
    def test_figures_of_a_short_history(self):
        with tempfile.TemporaryDirectory() as folder:
            figures = HistoryMeasure(20, 50, folder).run()
            self.assertGreater(figures.disk, figures.configuration)
            self.assertLess(figures.catch_up_old_disk, 3)
            self.assertLess(figures.catch_up_empty_disk, 3)
            self.assertEqual(1, len(segment_names(os.path.join(folder, "s0"))))

    def test_what_was_written_is_read_anew(self):
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(os.path.join(folder, "s"))
            disk.records = [{"k": "identity"}]
            self.assertEqual([{"k": "identity"}], disk.records)


if __name__ == "__main__":
    unittest.main()
