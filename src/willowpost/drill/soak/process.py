"""Starts one of the daemons with a mesh that can be cut, as a broken network would cut it.

Cuts stand in a file that the soak writes: a JSON list of [address, address] pairs between which no
frame passes, in either direction. Everything else is the daemon's own program.
"""

import json
import os
import sys
from importlib import import_module
from pathlib import Path

import willowpost.shell.startup_signals  # noqa: F401  before what takes long to import
from willowpost.shell.mesh import Mesh

CUTS_VARIABLE = "WILLOWPOST_SOAK_CUTS"


class CutFile:
    """The cuts that concern one address, read anew whenever the file has changed.

    Args:
        path: The file.
        own: The address of this process.
    """

    def __init__(self, path: Path, own: str):
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


def make_cuttable(path: Path) -> None:
    """Makes every mesh of this process drop what crosses a cut."""
    make, send = Mesh.__init__, Mesh.send

    def cuttable_init(self, address, inbox):
        self.cuts = CutFile(path, address)
        make(self, address, inbox)
        offer = inbox.offer
        inbox.offer = lambda item, size: not self.cuts.cuts(item.source) and offer(item, size)

    def cuttable_send(self, address, message):
        if not self.cuts.cuts(address):
            send(self, address, message)

    Mesh.__init__, Mesh.send = cuttable_init, cuttable_send


def main() -> None:
    """Runs `python -m willowpost.drill.soak.process MODULE --settings FILE`."""
    module = sys.argv.pop(1)
    make_cuttable(Path(os.environ[CUTS_VARIABLE]))
    import_module(f"willowpost.{module}.main").main()


if __name__ == "__main__":
    main()
