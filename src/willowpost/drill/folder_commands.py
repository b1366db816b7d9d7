"""The commands that read a store's folder."""

import json
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.toolbox.folder_checker import FolderChecker, FolderIssue
from willowpost.toolbox.log_replay import LogReplay


class CheckCommand(Command):
    """Checks a store's folder."""

    name = "check"
    description = "Reads a store's folder and says what is wrong, with the place."
    arguments: ClassVar[list[Any]] = [
        argument("folder", "The folder store/ under a wpstore's data folder.")
    ]
    help = "Exits with 1 when there is a finding. Writes nothing; the store may be running."

    def handle(self) -> int:
        """Print issues and facts; 1 if there is an issue."""
        report = FolderChecker().check(self.argument("folder"))
        for issue in report.issues:
            self.line(json.dumps(issue.to_json()))
        self.line(json.dumps(report.facts.to_json() if report.facts else {}))
        return 1 if report.issues else 0


class ReplayCommand(Command):
    """Replays a store's log."""

    name = "replay"
    description = "Replays a store's recorded log to a slot and prints the tables."
    arguments: ClassVar[list[Any]] = [
        argument("folder", "The folder store/ under a wpstore's data folder.")
    ]
    options: ClassVar[list[Any]] = [
        option("slot", None, "The slot to stop before; the end if not given.", flag=False)
    ]

    def handle(self) -> int:
        """Print the tables; 2 if the folder does not hold the slot."""
        folder, slot = self.argument("folder"), self.option("slot")
        try:
            tables = LogReplay().run(folder, int(slot) if slot else None)
        except (ValueError, OSError) as problem:
            self.line_error(json.dumps(FolderIssue(folder, str(problem)).to_json()))
            return 2
        self.line(json.dumps(json.loads(tables.text()), indent=1))
        return 0
