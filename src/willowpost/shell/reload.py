"""Reads a process's settings again while it runs."""

from typing import Any

from result import Err, Ok, Result

from willowpost.shell.settings import DaemonSettings, SettingsReader
from willowpost.shell.structured_log import StructuredLogger

LIVE = ("seeds", "level", "pace")


class SettingsReload:
    """Applies changed settings that need no restart and logs the others at each reload.

    Settings with any finding change nothing.

    Attributes:
        held: The settings that this process runs with.
    """

    def __init__(
        self,
        path: str | None,
        flags: dict[str, Any],
        needs: tuple[str, ...],
        held: DaemonSettings,
        logger: StructuredLogger,
    ):
        self.path, self.flags, self.needs, self.held, self.logger = path, flags, needs, held, logger

    def step(self) -> Result[DaemonSettings, list[dict[str, str]]]:
        """Reads the settings; returns those now in use, or the findings."""
        read = SettingsReader().read(self.path, self.flags, self.needs)
        if read.is_err():
            self.logger.log(
                "settings", "wrong, the old ones stay", level="error", findings=read.unwrap_err()
            )
            return Err(read.unwrap_err())
        wanted = read.unwrap()
        changed = [
            name
            for name in DaemonSettings.model_fields
            if getattr(wanted, name) != getattr(self.held, name)
        ]
        live = [name for name in changed if name in LIVE]
        self.held = self.held.model_copy(update={name: getattr(wanted, name) for name in live})
        self.logger.log(
            "settings",
            "read again",
            changed=live,
            needs_restart=[name for name in changed if name not in LIVE],
        )
        return Ok(self.held)
