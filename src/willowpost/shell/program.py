"""The command line shared by the programs."""

import json
import sys
from typing import Any, ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.reload import SettingsReload
from willowpost.shell.serving import Daemon, serve
from willowpost.shell.settings import DaemonSettings, SettingsReader
from willowpost.shell.structured_log import StructuredLogger

VERSION = "0.1.0"
EXIT_WRONG_SETTINGS = 2
# Flags that replace the settings of the same name.
SETTING_FLAGS = ("name", "zone", "address", "http", "role", "data", "voters", "level")


class DaemonCommand(Command):
    """The command of one program.

    Wrong settings end it with exit code 2 and all issues, before any socket is opened.

    Attributes:
        required_settings: fields that this program requires.
    """

    required_settings: tuple[str, ...] = ()
    options: ClassVar[list[Any]] = [
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
        """Check the settings and serve, until the process ends; 2 for wrong settings."""
        path, flags = self.option("settings"), self._setting_flags()
        read = SettingsReader().read(path, flags, self.required_settings)
        if read.is_err():
            for issue in read.unwrap_err():
                print(json.dumps(issue), file=sys.stderr)
            return EXIT_WRONG_SETTINGS
        settings = read.unwrap()
        if self.option("check"):
            self.line("settings are sound")
            return 0
        logger = StructuredLogger(str(self.name), settings.name, settings.level)
        reload = SettingsReload(path, flags, self.required_settings, settings, logger)
        serve(
            self.build(settings.to_process_settings(), logger),
            logger,
            lambda: reload.reload().map(DaemonSettings.to_process_settings).unwrap_or(None),
        )

    def _setting_flags(self) -> dict[str, Any]:
        flags = {name: self.option(name) for name in SETTING_FLAGS}
        seeds = self.option("seeds")
        return {**flags, "seeds": seeds.split(",") if seeds else None}

    def build(self, settings: ProcessSettings, logger: StructuredLogger) -> Daemon:
        """Return the daemon of this command, for checked settings."""
        raise NotImplementedError


def run(command: Command) -> None:
    """Run one command as the program's only one, and exit."""
    application = Application(str(command.name), VERSION)
    application.add(command)
    application._default_command = str(command.name)
    application._single_command = True
    sys.exit(application.run())
