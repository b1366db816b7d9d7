"""Reads a process's settings again while it runs."""

from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from willowpost.shell.settings import DaemonSettings, SettingsReader
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.validation_issue import PrintedIssue

LIVE_SETTINGS = ("seeds", "level", "pace")  # need no restart


class SettingsReload:
    """Applies changed settings that need no restart and logs the others at each reload.

    Settings with any issue change nothing.

    Attributes:
        settings: the settings that this process runs with.
    """

    def __init__(
        self,
        path: str | None,
        flags: Mapping[str, Any],
        required: tuple[str, ...],
        settings: DaemonSettings,
        logger: StructuredLogger,
    ) -> None:
        self.path, self.flags, self.required = path, flags, required
        self.settings, self.logger = settings, logger

    def reload(self) -> Result[DaemonSettings, list[PrintedIssue]]:
        """Read the settings; returns those now in use, or the issues."""
        read = SettingsReader().read(self.path, self.flags, self.required)
        if read.is_err():
            issues = read.unwrap_err()
            self.logger.log("settings", "wrong, the old ones stay", level="error", findings=issues)
            return Err(issues)
        wanted = read.unwrap()
        changed = [
            name
            for name in DaemonSettings.model_fields
            if getattr(wanted, name) != getattr(self.settings, name)
        ]
        live = [name for name in changed if name in LIVE_SETTINGS]
        self.settings = self.settings.model_copy(
            update={name: getattr(wanted, name) for name in live}
        )
        self.logger.log(
            "settings",
            "read again",
            changed=live,
            needs_restart=[name for name in changed if name not in LIVE_SETTINGS],
        )
        return Ok(self.settings)
