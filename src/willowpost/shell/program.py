"""The command line shared by the programs."""

import json
import sys
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from willowpost.shell.reload import SettingsReload
from willowpost.shell.serving import serve
from willowpost.shell.settings import DaemonSettings, SettingsReader
from willowpost.shell.structured_log import StructuredLogger


class DaemonCommand(Command):
    """The command of one program.

    Wrong settings end it with exit code 2 and all findings, before any socket is opened.
    """

    needs: tuple[str, ...] = ()
    options: ClassVar[list] = [
        option("settings", "p", "JSON or YAML file with this process's settings.", flag=False),
        option("name", None, "Name of the machine.", flag=False),
        option("zone", None, "Zone the machine stands in.", flag=False),
        option("address", "a", "IP:port where the fleet's processes reach this one.", flag=False),
        option("http", None, "IP:port for calls over HTTP.", flag=False),
        option("seeds", "s", "Up to three IP:port of other processes, with commas.", flag=False),
        option("role", None, "edge or shield (wpproxy only).", flag=False),
        option("data", "d", "Folder for what must last (wpstore only).", flag=False),
        option("voters", None, "How many bootstrap members the core has.", flag=False),
        option("level", None, "DEBUG, INFO, WARNING or ERROR.", flag=False),
        option("check", None, "Check the settings and end."),
    ]

    def handle(self) -> int:
        """Check the settings and serve; 2 for wrong settings."""
        flags = {
            name: self.option(name)
            for name in ("name", "zone", "address", "http", "role", "data", "voters", "level")
        }
        flags["seeds"] = self.option("seeds").split(",") if self.option("seeds") else None
        read = SettingsReader().read(self.option("settings"), flags, self.needs)
        if read.is_err():
            for finding in read.unwrap_err():
                print(json.dumps(finding), file=sys.stderr)
            return 2
        settings = read.unwrap()
        if self.option("check"):
            self.line("settings are sound")
            return 0
        logger = StructuredLogger(self.name, settings.name, settings.level)
        reload = SettingsReload(self.option("settings"), flags, self.needs, settings, logger)
        serve(
            self.build(settings.place(), logger),
            logger,
            lambda: reload.step().map(DaemonSettings.place).unwrap_or(None),
        )
        return 0

    def build(self, place, logger):
        """The daemon of this command, for checked settings."""
        raise NotImplementedError


def run(command: Command) -> None:
    """Run one command as the program's only one, and exit."""
    application = Application(command.name, "0.1.0")
    application.add(command)
    application._default_command = command.name
    application._single_command = True
    sys.exit(application.run())
