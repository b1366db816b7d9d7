"""The command `wpdrill capacity`."""

import json
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from willowpost.drill.capacity.report import PARTS, Report


class CapacityCommand(Command):
    """Measures fleets of rising sizes and works out the size to design for."""

    name = "capacity"
    description = (
        "Runs lightweight fleets of rising sizes in this process, fits what each role spends, "
        "and foretells the size to design for."
    )
    options: ClassVar[list] = [
        option("parts", "p", f"Parts with commas, of: {','.join(PARTS)}.", flag=False),
        option("seed", None, "Seed.", flag=False, default="1"),
        option("span", None, "Seconds of virtual time that are counted.", flag=False, default="3"),
    ]
    help = """Lightweight daemons are the daemons' own controllers on virtual time; in large fleets
a few of each role are stepped, and the others are simulated peers that only speak to these. One
process, a few minutes a part.
The same seed gives the same messages and bytes; processor times are this machine's.

  <info>wpdrill capacity</info>
  <info>wpdrill capacity --parts ladder,design</info>"""

    def handle(self) -> int:
        """Run the wanted parts; exit code 2 for a part that is not known."""
        parts = (self.option("parts") or ",".join(PARTS)).split(",")
        unknown = [part for part in parts if part not in PARTS]
        if unknown:
            self.line_error(
                json.dumps({"place": "parts", "finding": f"no part {', '.join(unknown)}"})
            )
            return 2
        Report(
            lambda text: print(text, flush=True),
            int(self.option("seed")),
            span=float(self.option("span")),
        ).run(parts)
        return 0
