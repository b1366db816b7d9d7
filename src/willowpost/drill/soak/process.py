"""Starts one of the daemons with a mesh that can be cut, and with a disk that may be slow.

Cuts stand in a file that the soak writes: a JSON list of [address, address] pairs between which no
frame passes, in either direction. Everything else is the daemon's own program.
"""

import json
import os
import sys
import time
from importlib import import_module
from pathlib import Path
from typing import Any

import willowpost.shell.startup_signals  # noqa: F401  before what takes long to import
from willowpost.shell import runner
from willowpost.shell.disk import Disk
from willowpost.shell.mesh import Mesh
from willowpost.shell.segment_format import Record
from willowpost.shell.sized_queue import SizedQueue
from willowpost.store import daemon as store_daemon

CUTS_VARIABLE = "WILLOWPOST_SOAK_CUTS"
MS_PER_SECOND = 1000
SYNC_VARIABLE = "WILLOWPOST_SOAK_SYNC_MS"  # how much longer each sync of a disk takes


class CutFile:
    """The cuts that concern one address, read anew whenever the file has changed.

    Args:
        path: The file.
        own: The address of this process.
    """

    def __init__(self, path: Path, own: str) -> None:
        self.path, self.own = path, own
        self.seen: tuple[int, ...] = ()
        self.others: set[str] = set()

    def cuts(self, address: str) -> bool:
        """Whether nothing passes between this process and an address now."""
        status = os.stat(self.path)
        # each writing is a new file; the time alone is the same for writings a moment apart
        seen = (status.st_ino, status.st_mtime_ns, status.st_size)
        if seen != self.seen:
            pairs = json.loads(self.path.read_text())
            self.others = {
                one for pair in pairs if self.own in pair for one in pair if one != self.own
            }
            self.seen = seen
        return address in self.others


class CuttableMesh(Mesh):
    """A mesh that drops what crosses a cut.

    Args:
        address: As of `Mesh`.
        inbox: As of `Mesh`.
    """

    def __init__(self, address: str, inbox: SizedQueue) -> None:
        super().__init__(address, inbox)
        self._cuts = CutFile(Path(os.environ[CUTS_VARIABLE]), address)
        self._offer = inbox.offer
        inbox.offer = self._offer_unless_cut  # type: ignore[method-assign]

    def send(self, address: str, message: object) -> None:
        """Send a message, unless there is a cut."""
        if not self._cuts.cuts(address):
            super().send(address, message)

    def _offer_unless_cut(self, item: Any, size: int) -> bool:
        return not self._cuts.cuts(item.source) and self._offer(item, size)


class SlowDisk(Disk):
    """A disk on which appending takes longer; it blocks the process, as a sync does."""

    def append(self, records: list[Record]) -> None:
        """Append one batch of records and sync it, slowly."""
        super().append(records)
        time.sleep(float(os.environ[SYNC_VARIABLE]) / MS_PER_SECOND)


def main() -> None:
    """Runs `python -m willowpost.drill.soak.process MODULE --settings FILE`."""
    module = sys.argv.pop(1)
    runner.Mesh = CuttableMesh  # type: ignore[attr-defined]
    if float(os.environ[SYNC_VARIABLE]):
        store_daemon.Disk = SlowDisk  # type: ignore[attr-defined]
    import_module(f"willowpost.{module}.main").main()


if __name__ == "__main__":
    main()
