"""The command `wpdrill soak`."""

import shutil
import tempfile
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from willowpost.drill.soak.fleet import layout
from willowpost.drill.soak.run import Soak


class SoakCommand(Command):
    """Runs soaks for a range of seeds; exits with 1 if any rule was broken."""

    name = "soak"
    description = "Real processes under seeded troubles that overlap; callers that leave."
    options: ClassVar[list[Any]] = [
        option("seeds", None, "First and last seed, as 1-50.", flag=False, default="1-1"),
        option("edges", "e", "How many edges.", flag=False, default="4"),
        option("cores", "c", "How many core machines: 3, or 5.", flag=False, default="3"),
        option("seconds", "s", "How long troubles begin.", flag=False, default="15"),
        option("sync-ms", None, "How much longer syncs of disks take.", flag=False, default="0"),
        option("keep", "k", "Keep the folders of seeds that broke a rule."),
    ]
    help = """Each seed is a fleet of its own on loopback: core machines, all but one of them with a
shield, and the edges. As many core machines as the quorum bears are hit at a time. An odd seed's
proxies serve on for a minute without state updates, an even one's only for their lease.

  <info>wpdrill soak --seeds 1-50 --keep</info>
  <info>wpdrill soak --seeds 7-7 --edges 60 --cores 5 --seconds 40</info>"""

    def handle(self) -> int:
        """Run the seeds one after the other; the exit code."""
        first, _, last = self.option("seeds").partition("-")
        broken = [seed for seed in range(int(first), int(last or first) + 1) if self._run(seed)]
        self.line(f"seeds {self.option('seeds')}: {len(broken)} broke a rule {broken or ''}")
        return 1 if broken else 0

    def _run(self, seed: int) -> bool:
        """Runs one seed; whether a rule was broken."""
        folder = Path(tempfile.mkdtemp(prefix=f"wpsoak-{seed}-"))
        machines = layout(int(self.option("edges")), int(self.option("cores")))
        soak = Soak(
            machines,
            folder,
            seed,
            float(self.option("seconds")),
            self._detail,
            float(self.option("sync-ms")),
        )
        try:
            findings = soak.run()
        except RuntimeError as problem:
            self.line(f"seed {seed}: {problem}")
            return True
        finally:
            self._detail(f"folder: {folder}")
        broken = findings.broken
        sent = len(soak.callers.tally.sent)
        self.line(f"seed {seed}: {sent} requests, {'BROKEN' if broken else 'kept'}")
        for row in broken if broken and not self.io.is_verbose() else findings.rows:
            if broken or self.io.is_verbose():
                self.line(f"  {'kept  ' if row.kept else 'BROKEN'} {row.rule}: {row.seen}")
        if not (broken and self.option("keep")):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            self.line(f"  folder: {folder}")
        return bool(broken)

    def _detail(self, text: str) -> None:
        if self.io.is_verbose():
            self.line(text)
