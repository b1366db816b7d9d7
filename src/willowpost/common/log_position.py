"""How far a process knew the log at some moment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A position in the log, as one process knew it.

    Attributes:
        slot: the next slot to apply.
        version: of the configuration in force.
    """

    slot: int = 0
    version: int = 0
