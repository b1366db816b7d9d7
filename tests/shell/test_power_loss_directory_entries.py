"""A loss of power between two syncs of the folder keeps or loses each of its entries by itself."""

import contextlib
import itertools
import os
import shutil
import tempfile
import unittest
from unittest.mock import patch

from willowpost.shell.disk import Disk

OLD = [{"k": "identity", "identity": "x"}, {"k": "decision", "slot": 0}]
NEW = [{"k": "identity", "identity": "x"}, {"k": "snapshot", "slot": 1}]


class PowerLost(BaseException):
    """Raised in place of the call before which the power goes."""


class RecordedFolder:
    """A real folder whose entry changes since its last sync are known one by one.

    Each inode is kept alive by a second name in `inodes`, so that any subset can be rebuilt.
    """

    def __init__(self, root: str):
        self.root = root
        self.path = os.path.join(root, "store")
        self.inodes = os.path.join(root, "inodes")
        os.makedirs(self.path)
        os.makedirs(self.inodes)
        self.durable: dict[str, str] = {}
        self.pending: list[tuple[str, str | None]] = []
        self.calls_left: int | None = None

    @contextlib.contextmanager
    def recorded(self, calls: int | None = None):
        """Records entry changes; the power goes before change or sync number `calls`."""
        self.calls_left = calls
        real = {name: getattr(os, name) for name in ("open", "rename", "unlink", "fsync")}

        def opened(path, flags, *more, **options):
            new = flags & os.O_CREAT and not os.path.exists(path)
            if new:
                self._count()
            file = real["open"](path, flags, *more, **options)
            if new:
                self.pending.append((os.path.basename(path), self._inode(path)))
            return file

        def renamed(old, new):
            self._count()
            inode = self._inode(old)
            real["rename"](old, new)
            self.pending += [(os.path.basename(old), None), (os.path.basename(new), inode)]

        def unlinked(path):
            self._count()
            real["unlink"](path)
            self.pending.append((os.path.basename(path), None))

        def synced(file):
            self._count()
            real["fsync"](file)
            if os.path.samestat(os.fstat(file), os.stat(self.path)):
                self.durable = self.entries(range(len(self.pending)))
                self.pending = []

        with (
            patch("os.open", opened),
            patch("os.rename", renamed),
            patch("os.unlink", unlinked),
            patch("os.fsync", synced),
            contextlib.suppress(PowerLost),
        ):
            yield

    def _count(self):
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerLost

    def _inode(self, path):
        kept = os.path.join(self.inodes, str(os.stat(path).st_ino))
        if not os.path.exists(kept):
            os.link(path, kept)
        return kept

    def entries(self, kept) -> dict[str, str]:
        """What the folder names if just these of the pending changes were kept."""
        entries = dict(self.durable)
        for number in kept:
            name, inode = self.pending[number]
            entries.pop(name, None)
            if inode is not None:
                entries[name] = inode
        return entries

    def after_power_loss(self):
        """Each folder that may be found afterwards, as a new RecordedFolder."""
        seen = []
        for count in range(len(self.pending) + 1):
            for kept in itertools.combinations(range(len(self.pending)), count):
                entries = self.entries(kept)
                if entries not in seen:
                    seen.append(entries)
        for number, entries in enumerate(seen):
            found = RecordedFolder(os.path.join(self.root, f"loss-{number}"))
            for name, inode in entries.items():
                path = os.path.join(found.path, name)
                shutil.copyfile(inode, path)
                found.durable[name] = found._inode(path)
            yield entries, found


class Folders(unittest.TestCase):
    def folder_with_segment(self):
        """A folder that holds the old segment, all of it synced."""
        root = tempfile.TemporaryDirectory()
        self.addCleanup(root.cleanup)
        folder = RecordedFolder(os.path.join(root.name, "first"))
        self.assertTrue(self.rotate(folder, OLD))
        return folder

    def rotate(self, folder, records, calls=None) -> bool:
        """One life of a process that writes a new segment; whether it came to the end."""
        done = False
        with folder.recorded(calls):
            disk = Disk(folder.path)
            disk.load()
            disk.rotate(records)
            done = True
        return done

    def load(self, folder, calls=None):
        """One life of a process that only starts; what it read, or None if it did not come so far."""
        records = None
        with folder.recorded(calls):
            records = Disk(folder.path).load()
        return records

    def test_power_lost_in_a_rotation_leaves_the_old_segment_or_the_new(self):
        for calls in range(12):
            folder = self.folder_with_segment()
            done = self.rotate(folder, NEW, calls)
            for entries, found in folder.after_power_loss():
                with self.subTest(calls=calls, entries=sorted(entries)):
                    self.assertIn(self.load(found), [NEW] if done else [OLD, NEW])

    def test_killed_in_a_rotation_then_power_lost_in_or_after_the_restart(self):
        """After a kill the folder's changes are still unsynced when the restart builds on them."""
        for killed_at, lost_at in itertools.product(range(9), range(9)):
            folder = self.folder_with_segment()
            done = self.rotate(folder, NEW, killed_at)
            read = self.load(folder, lost_at)
            allowed = [read] if read is not None else [NEW] if done else [OLD, NEW]
            for entries, found in folder.after_power_loss():
                with self.subTest(killed_at=killed_at, lost_at=lost_at, entries=sorted(entries)):
                    self.assertIn(self.load(found), allowed)


if __name__ == "__main__":
    unittest.main()
