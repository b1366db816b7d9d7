"""What can happen to a node."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Received:
    """A message from another process, by the address that it gives as its own."""

    source: str
    message: Any


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed; comes about every 20 ms."""

    pass


@dataclass(frozen=True, slots=True)
class Changed:
    """The process's settings changed while it runs."""

    seeds: tuple[str, ...]
    pace: Any = None


@dataclass(frozen=True, slots=True)
class Asked:
    """Someone in this process wants `ops` in the log.

    They wait under `token` (None: nobody waits).

    `lifetime`: µs after which they are not submitted again; None: as long as somebody waits, or, if
    nobody does, until the log has answered.
    """

    token: Any
    ops: tuple[dict[str, Any], ...]
    lifetime: int | None = None


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Whoever waited under `token` has given up: what it asked for is not submitted again."""

    token: Any
