"""The store's folder: torn tails are cut, damage is refused, segments replace each other whole."""

import errno
import os
import tempfile
import unittest
import zlib
from unittest.mock import patch

import gevent

from willowpost.common.formats import UnknownFormatError
from willowpost.common.plan import Plan
from willowpost.shell.disk import Disk
from willowpost.shell.retrying_disk import RetryingDisk
from willowpost.shell.runner import Runner
from willowpost.shell.segment_format import DiskDamagedError, encode_batch, parse_segment


class DiskTests(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.disk = Disk(self.folder.name)
        self.disk.rotate([{"k": "identity", "identity": "x"}])

    def _path(self):
        return os.path.join(self.folder.name, sorted(os.listdir(self.folder.name))[-1])

    def test_what_was_appended_comes_back_after_a_torn_tail_at_every_byte(self):
        self.disk.append([{"k": "decision", "slot": 0}])
        whole = open(self._path(), "rb").read()
        extra = encode_batch([{"k": "decision", "slot": 1}, {"k": "passed", "epoch": 2}])
        for cut in range(len(extra)):
            with open(self._path(), "wb") as file:
                file.write(whole + extra[:cut])
            self.assertEqual([0], [record["slot"] for record in Disk(self.folder.name).load()[1:]])
        reopened = Disk(self.folder.name)
        reopened.load()
        reopened.append([{"k": "decision", "slot": 1}])
        self.assertEqual([0, 1], [record["slot"] for record in Disk(self.folder.name).load()[1:]])

    def test_damage_before_valid_records_is_rejected(self):
        for slot in range(3):
            self.disk.append([{"k": "decision", "slot": slot}])
        data = bytearray(open(self._path(), "rb").read())
        data[len(data) // 2] ^= 1
        open(self._path(), "wb").write(data)
        with self.assertRaises(DiskDamagedError):
            Disk(self.folder.name).load()

    def test_a_segment_without_its_header_is_rejected_at_every_length(self):
        whole = open(self._path(), "rb").read()
        for cut in range(whole.index(b"\n") + 1):
            with open(self._path(), "wb") as file:
                file.write(whole[:cut])
            with self.assertRaises(DiskDamagedError):
                Disk(self.folder.name).load()

    def test_a_torn_batch_is_truncated_whichever_pages_of_it_were_written(self):
        """A write of several pages may lose any of them; nothing of the batch was ever told."""
        whole = open(self._path(), "rb").read()
        batch = encode_batch(
            [{"k": "decision", "slot": slot, "key": "x" * 50} for slot in range(20)]
        )
        page = 64
        for missing in range(0, len(batch), page):
            zeros = b"\0" * len(batch[missing : missing + page])
            torn = batch[:missing] + zeros + batch[missing + page :]
            with open(self._path(), "wb") as file:
                file.write(whole + torn)
            self.assertEqual(1, len(Disk(self.folder.name).load()), missing)

    def test_a_segment_of_an_unknown_format_is_a_clear_error_and_stays(self):
        for body in (b'{"format":3}', b"{}", b'[{"k":"identity"}]'):
            line = b"%08x %s\n" % (zlib.crc32(body), body)
            with open(self._path(), "wb") as file:
                file.write(line)
            with self.assertRaisesRegex(UnknownFormatError, "this build reads 2"):
                Disk(self.folder.name).load()
            self.assertEqual(line, open(self._path(), "rb").read())

    def test_a_damaged_folder_is_quarantined_and_only_the_latest_stays(self):
        for moment in (1, 2):
            disk = Disk(os.path.join(self.folder.name, "store"))
            disk.rotate([{"k": "identity"}])
            aside = disk.quarantine(moment)
        self.assertEqual(
            [os.path.basename(aside)],
            [name for name in os.listdir(self.folder.name) if name.startswith("store")],
        )

    def test_a_segment_not_renamed_leaves_the_old_one(self):
        self.disk.append([{"k": "decision", "slot": 0}])
        open(self._path() + ".aside", "wb").write(b"half of a new")
        self.assertEqual(2, len(Disk(self.folder.name).load()))
        self.assertEqual(1, len(os.listdir(self.folder.name)))


class Failing(unittest.TestCase):
    """Room that runs out at any point of a write: nothing half written stays, and nothing is lost."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.disk = Disk(folder.name)
        self.disk.rotate([{"k": "identity"}])
        self.disk.append([{"k": "decision", "slot": 0}])

    def stored_slots(self):
        """What a restart would find, read without touching the folder."""
        name = sorted(name for name in os.listdir(self.disk.folder) if name.endswith(".wp"))[-1]
        with open(os.path.join(self.disk.folder, name), "rb") as file:
            records, sound = parse_segment(file.read())
            self.assertEqual(sound, file.tell(), "something half written stayed")
        return [record.get("slot") for record in records]

    def failing(self, call, code, times=1, before=lambda *args: None):
        """os.`call` fails `times` times, having done `before`."""
        real, left = getattr(os, call), [times]

        def fails(*args):
            if left[0]:
                left[0] -= 1
                before(real, *args)
                raise OSError(code, os.strerror(code))
            return real(*args)

        return patch(f"willowpost.shell.disk.os.{call}", fails)

    def test_a_failed_append_leaves_what_was_and_can_be_retried(self):
        def half(real, file, data):
            return real(file, data[: len(data) // 2])

        for call, before in (
            ("write", half),
            ("write", lambda *args: None),
            ("fdatasync", lambda *args: None),
        ):
            count = len(self.stored_slots())
            with self.failing(call, errno.ENOSPC, before=before), self.assertRaises(OSError):
                self.disk.append([{"k": "decision", "slot": count}])
            self.assertEqual(count, len(self.stored_slots()), call)
            self.disk.append([{"k": "decision", "slot": count}])
            self.assertEqual(count + 1, len(self.stored_slots()), call)

    def test_a_failed_segment_leaves_the_old_one_and_no_open_handle(self):
        for call in ("open", "write", "fsync", "rename"):
            handles = len(os.listdir("/proc/self/fd"))
            with self.failing(call, errno.EMFILE), self.assertRaises(OSError):
                self.disk.rotate([{"k": "identity"}])
            self.assertEqual(handles, len(os.listdir("/proc/self/fd")), call)
            self.assertEqual([None, 0], self.stored_slots(), call)
        self.disk.append([{"k": "decision", "slot": 1}])
        self.assertEqual([None, 0, 1], self.stored_slots())
        self.disk.rotate([{"k": "identity"}, {"k": "decision", "slot": 7}])
        self.assertEqual([None, 7], self.stored_slots())

    def test_writes_are_retried_and_logged_while_space_is_missing_and_other_errors_raised(self):
        log_calls, pauses = [], []
        logger = type("Logger", (), {"log": lambda self, *words, **more: log_calls.append(words)})()
        retrying_disk = RetryingDisk(self.disk, logger, pauses.append)
        with self.failing("write", errno.ENOSPC, times=50):
            retrying_disk.append([{"k": "decision", "slot": 1}])
        self.assertEqual((50, 2, [None, 0, 1]), (len(pauses), len(log_calls), self.stored_slots()))
        with self.failing("fsync", errno.ENFILE, times=3):
            retrying_disk.rotate([{"k": "identity"}])
        self.assertEqual([None], self.stored_slots())
        with self.failing("fdatasync", errno.EIO), self.assertRaises(OSError):
            retrying_disk.append([{"k": "decision", "slot": 2}])


class FullDisk(unittest.TestCase):
    def test_a_store_that_cannot_write_ends_and_sends_nothing(self):
        """What was not synced must not be sent.

        And the process must not linger without its task (a disk that waits for room stands before
        this).
        """
        sent, exit_codes, log_calls = [], [], []

        class Node:
            def step(self, event, now):
                plan = Plan()
                plan.records.append({"k": "decision"})
                plan.send("127.0.0.1:1", "never")
                return plan

        class Full:
            def append(self, records):
                raise OSError(28, "No space left on device")

        logger = type(
            "Logger", (), {"log": lambda self, *words, **more: log_calls.append((words, more))}
        )()
        runner = Runner("127.0.0.1:0", logger, Full(), exit_codes.append)
        runner.mesh.send = lambda *args: sent.append(args)
        runner.start(Node())
        gevent.wait([runner.task], timeout=5)
        gevent.idle()
        runner.mesh.stop()
        self.assertEqual(([], [70]), (sent, exit_codes))
        self.assertIn("No space", log_calls[0][1]["problem"])


if __name__ == "__main__":
    unittest.main()
