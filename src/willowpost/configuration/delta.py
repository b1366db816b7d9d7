"""The difference between two configurations: as large as the change, not as the configuration.

A change of one route among thousands is carried through the log, to every disk and to every daemon
as this difference. Both halves are plain JSON values, so that they fit into an operation.
"""

import json
import re
from dataclasses import dataclass
from typing import Any

SET, INTO, DROP = "set", "into", "drop"
# A document is cut behind each closing brace: in JSON, about one piece for each entry of a list.
PIECE = re.compile(r"[^}]*}|[^}]+")


def tree_delta(base: dict[str, Any], tree: dict[str, Any]) -> dict[str, Any]:
    """The difference between two trees of mappings; lists and plain values are replaced whole.

    Returns:
        A mapping that may hold `set` (key to new value), `into` (key to the difference of the two
        mappings under it) and `drop` (keys that are gone).
    """
    replaced, into = {}, {}
    for key, value in tree.items():
        held = base.get(key)
        if isinstance(value, dict) and isinstance(held, dict):
            if value != held:
                into[key] = tree_delta(held, value)
        elif key not in base or value != held or type(value) is not type(held):
            replaced[key] = value
    dropped = [key for key in base if key not in tree]
    delta = {SET: replaced, INTO: into, DROP: dropped}
    return {name: part for name, part in delta.items() if part}


def with_tree_delta(base: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """The tree that a difference makes of its base; parts without a change are shared with it.

    Raises:
        KeyError: The difference was made from another base.
    """
    dropped = set(delta.get(DROP, ()))
    tree = {key: value for key, value in base.items() if key not in dropped}
    tree.update(delta.get(SET, {}))
    for key, below in delta.get(INTO, {}).items():
        tree[key] = with_tree_delta(base[key], below)
    return tree


def text_delta(base: str, text: str) -> list[list[int] | str]:
    """The difference between two documents.

    Returns:
        Parts that make up the new one, in order: [first, end) character of a part of the base, or
        new text.
    """
    places: dict[str, int] = {}
    at = 0
    for piece in PIECE.findall(base):
        places.setdefault(piece, at)
        at += len(piece)
    parts: list[list[int] | str] = []
    for piece in PIECE.findall(text):
        last = parts[-1] if parts else None
        if isinstance(last, list) and base.startswith(piece, last[1]):
            last[1] += len(piece)
        elif piece in places:
            parts.append([places[piece], places[piece] + len(piece)])
        elif isinstance(last, str):
            parts[-1] = last + piece
        else:
            parts.append(piece)
    return parts


def with_text_delta(base: str, parts: list[list[int] | str]) -> str:
    """The document that a difference makes of its base."""
    return "".join(part if isinstance(part, str) else base[part[0] : part[1]] for part in parts)


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The difference between a configuration in force and a new one.

    Attributes:
        tree: As `tree_delta` returns it.
        source: As `text_delta` returns it; None if the new configuration has no document.
    """

    tree: dict[str, Any]
    source: list[list[int] | str] | None

    @classmethod
    def between(
        cls,
        base_tree: dict[str, Any],
        base_source: str | None,
        tree: dict[str, Any],
        source: str | None,
    ) -> "ConfigurationDelta":
        """The difference from one tree and document to others."""
        return cls(
            tree_delta(base_tree, tree),
            None if source is None else text_delta(base_source or "", source),
        )

    def size(self) -> int:
        """Bytes of the difference as JSON."""
        return len(json.dumps([self.tree, self.source], separators=(",", ":")))

    def on(
        self, base_tree: dict[str, Any], base_source: str | None
    ) -> tuple[dict[str, Any], str | None]:
        """The new tree and document.

        Raises:
            KeyError: The difference was made from another configuration.
        """
        source = None
        if self.source is not None:
            source = with_text_delta(base_source or "", self.source)
        return with_tree_delta(base_tree, self.tree), source
