"""JSON logs: short sentences, a fixed prefix for each part."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter


class StructuredLogger:
    """A logger; every line is a JSON object with time, program, name and message."""

    def __init__(self, program: str, name: str, level: str = "INFO", stream: TextIO | None = None):
        self.logger = logging.Logger(program, getattr(logging, level))
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
                static_fields={"program": program, "daemon": name},
            )
        )
        self.logger.addHandler(handler)

    def set_level(self, level: str) -> None:
        """Log from this level on."""
        self.logger.setLevel(getattr(logging, level))

    def log(self, part: str, sentence: str, level: str = "info", **more: Any) -> None:
        """Log a sentence of a part, with fields."""
        getattr(self.logger, level)(f"{part}: {sentence}", extra=more)
