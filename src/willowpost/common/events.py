"""What can happen to a node."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Received:
    source: str
    message: Any


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Changed:
    """The process's settings changed while it runs."""

    seeds: tuple[str, ...]
    pace: Any = None


@dataclass(frozen=True, slots=True)
class Asked:
    """Someone in this process wants `ops` in the log and waits under `token` (None: nobody waits)."""

    token: Any
    ops: tuple
