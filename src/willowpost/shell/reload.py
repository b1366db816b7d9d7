"""The platform says that settings have changed: read them again.

Take over what can change while running, name what cannot.
"""

from typing import Any

from result import Err, Ok, Result

from willowpost.shell.logs import Logs
from willowpost.shell.settings import DaemonSettings, SettingsReader

LIVE = ("seeds", "level", "pace")


class SettingsReload:
    """Invariants: settings with any finding change nothing; `held` is what this process runs with.

    So what needs a restart stays named at each reload until there was one.
    """

    def __init__(
        self,
        path: str | None,
        flags: dict[str, Any],
        needs: tuple[str, ...],
        held: DaemonSettings,
        logs: Logs,
    ):
        self.path, self.flags, self.needs, self.held, self.logs = path, flags, needs, held, logs

    def step(self) -> Result[DaemonSettings, list[dict[str, str]]]:
        """The settings to go on with."""
        read = SettingsReader().read(self.path, self.flags, self.needs)
        if read.is_err():
            self.logs.say(
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
        self.logs.say(
            "settings",
            "read again",
            changed=live,
            needs_restart=[name for name in changed if name not in LIVE],
        )
        return Ok(self.held)
