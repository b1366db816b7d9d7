"""The events that a node handles."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Received:
    """A message from another process.

    Attributes:
        source: the address that the sender names as its own.
        message: one of `wire.messages.BODIES`.
    """

    source: str
    message: Any


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed; comes about every 20 ms."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The process's settings changed while it runs.

    Attributes:
        seeds: addresses of processes to contact first.
        pace: a store's new `ReplicaTuning`; None: unchanged.
    """

    seeds: tuple[str, ...]
    pace: Any = None


@dataclass(frozen=True, slots=True)
class SubmitOperations:
    """A caller in this process wants operations in the log.

    Attributes:
        token: under which the caller waits for the outcome; None: nobody waits.
        operations: of `state/operations.py`, in the order in which they are to be applied.
        lifetime: µs after which they are not submitted again. None: they are submitted while the
            caller waits or, if nobody waits, until the log has answered.
    """

    token: Hashable
    operations: tuple[Any, ...]
    lifetime: int | None = None


@dataclass(frozen=True, slots=True)
class WithdrawSubmission:
    """The caller that waited under `token` gave up; its operations are not submitted again."""

    token: Hashable
