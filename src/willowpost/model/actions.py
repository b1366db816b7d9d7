"""What can happen next in the modelled system, as values that can be printed and replayed."""

from dataclasses import asdict, dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Deliver:
    """A message in flight arrives; with `keep` a copy of it stays in flight."""

    source: str
    target: str
    message: str  # repr of the message: a trace must not depend on how messages are numbered
    keep: bool = False


@dataclass(frozen=True, slots=True)
class Lose:
    """A message in flight is lost."""

    source: str
    target: str
    message: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The process's timer event; `timed`: so much later that every timer is due."""

    process: str
    timed: bool = True


@dataclass(frozen=True, slots=True)
class CrashOnDelivery:
    """A delivery makes the process write; it crashes with the first `written` records on disk.

    Nothing that the step wanted sent leaves. With as many as there are, all is written.
    """

    source: str
    target: str
    message: str
    written: int


@dataclass(frozen=True, slots=True)
class CrashAfterSending:
    """Only with sending before the sync: the messages left, and none of the records was written."""

    source: str
    target: str
    message: str


@dataclass(frozen=True, slots=True)
class Crash:
    """The process ends between two steps; its disk stays."""

    process: str


@dataclass(frozen=True, slots=True)
class Restart:
    """The process starts again from its disk."""

    process: str


@dataclass(frozen=True, slots=True)
class Wipe:
    """The machine loses its disk and its process, and starts again empty under the same name."""

    process: str


@dataclass(frozen=True, slots=True)
class Remove:
    """The machine goes for good, disk and all: it votes no more, and the platform takes it away."""

    process: str


@dataclass(frozen=True, slots=True)
class BlockLink:
    """From now on nothing passes from `source` to `target`; a direction each."""

    source: str
    target: str


@dataclass(frozen=True, slots=True)
class Heal:
    """All blocked links deliver again."""


Action = (
    Deliver
    | Lose
    | Tick
    | CrashOnDelivery
    | CrashAfterSending
    | Crash
    | Restart
    | Wipe
    | Remove
    | BlockLink
    | Heal
)
Delivery = Deliver | Lose | CrashOnDelivery | CrashAfterSending
# Saved traces name a kind by its class, but for those here.
_STORED_KINDS: dict[type[Action], str] = {BlockLink: "Cut"}
_KINDS: dict[str, type[Action]] = {
    _STORED_KINDS.get(kind, kind.__name__): kind
    for kind in (
        Deliver,
        Lose,
        Tick,
        CrashOnDelivery,
        CrashAfterSending,
        Crash,
        Restart,
        Wipe,
        Remove,
        BlockLink,
        Heal,
    )
}


def to_json(action: Action) -> dict[str, Any]:
    """The action as JSON values, with its kind under `do`."""
    return {"do": _STORED_KINDS.get(type(action), type(action).__name__), **asdict(action)}


def from_json(stored: dict[str, Any]) -> Action:
    """The action of `to_json`.

    Raises:
        KeyError: no action of that kind.
        TypeError: fields that the kind does not have.
    """
    arguments = {name: value for name, value in stored.items() if name != "do"}
    return _KINDS[stored["do"]](**arguments)
