"""JSON log lines: a component, an event and named fields."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter


class StructuredLogger:
    """Writes a JSON object a line, with the keys time, level, message, program and daemon.

    The message is "component: event"; fields follow under their names.

    Args:
        program: name of the program, such as "wpproxy".
        daemon: name of the machine that it runs on.
        level: the lowest level to log.
        stream: where lines go; None: stderr.
    """

    def __init__(
        self, program: str, daemon: str, level: str = "INFO", stream: TextIO | None = None
    ) -> None:
        self.logger = logging.Logger(program, getattr(logging, level))
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
                static_fields={"program": program, "daemon": daemon},
            )
        )
        self.logger.addHandler(handler)

    def set_level(self, level: str) -> None:
        """Log from this level on."""
        self.logger.setLevel(getattr(logging, level))

    def log(self, component: str, event: str, level: str = "info", **fields: Any) -> None:
        """Log an event of a component.

        Args:
            component: the part of the program that logs.
            event: what happened.
            level: debug, info, warning, error or critical.
            fields: details by name; a unit stands in the name, as in `age_ms`.
        """
        getattr(self.logger, level)(f"{component}: {event}", extra=fields)
