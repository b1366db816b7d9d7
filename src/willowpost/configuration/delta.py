"""The difference between two configurations: as large as the change, not as the configuration.

A change of one route among thousands is carried through the log, to every disk and to every daemon
as this difference. Both halves are plain JSON values, so that they fit into an operation.
"""

import json
import re
from dataclasses import dataclass
from typing import Any

# Keys of a tree's difference; they are stored in the log.
SET_KEY, INTO_KEY, DROP_KEY = "set", "into", "drop"
# A document is divided after each closing brace: in JSON, about one chunk per entry of a list.
CHUNK = re.compile(r"[^}]*}|[^}]+")

TextDelta = list[list[int] | str]


def tree_delta(base: dict[str, Any], tree: dict[str, Any]) -> dict[str, Any]:
    """Return the difference between two trees of mappings; lists and scalars are replaced.

    Returns:
        A mapping with any of `set` (key to new value), `into` (key to the difference of the two
        mappings under it) and `drop` (keys that are gone).
    """
    replaced: dict[str, Any] = {}
    nested: dict[str, Any] = {}
    for key, value in tree.items():
        base_value = base.get(key)
        if isinstance(value, dict) and isinstance(base_value, dict):
            if value != base_value:
                nested[key] = tree_delta(base_value, value)
        elif key not in base or value != base_value or type(value) is not type(base_value):
            replaced[key] = value
    dropped = [key for key in base if key not in tree]
    delta = {SET_KEY: replaced, INTO_KEY: nested, DROP_KEY: dropped}
    return {name: changes for name, changes in delta.items() if changes}


def apply_tree_delta(base: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """Return the tree that a difference makes of its base; unchanged subtrees are shared with it.

    Raises:
        KeyError: the difference was made from another base.
    """
    dropped = set(delta.get(DROP_KEY, ()))
    tree = {key: value for key, value in base.items() if key not in dropped}
    tree.update(delta.get(SET_KEY, {}))
    for key, nested in delta.get(INTO_KEY, {}).items():
        tree[key] = apply_tree_delta(base[key], nested)
    return tree


def text_delta(base: str, text: str) -> TextDelta:
    """Return the difference between two documents.

    Returns:
        What makes up the new one, in order: the [first, end) characters of a range of the base, or
        new text.
    """
    offsets = _chunk_offsets(base)
    delta: TextDelta = []
    for chunk in CHUNK.findall(text):
        last = delta[-1] if delta else None
        if isinstance(last, list) and base.startswith(chunk, last[1]):
            last[1] += len(chunk)
        elif chunk in offsets:
            delta.append([offsets[chunk], offsets[chunk] + len(chunk)])
        elif isinstance(last, str):
            delta[-1] = last + chunk
        else:
            delta.append(chunk)
    return delta


def _chunk_offsets(text: str) -> dict[str, int]:
    """Return the offset of each chunk's first occurrence."""
    offsets: dict[str, int] = {}
    offset = 0
    for chunk in CHUNK.findall(text):
        offsets.setdefault(chunk, offset)
        offset += len(chunk)
    return offsets


def apply_text_delta(base: str, delta: TextDelta) -> str:
    """Return the document that a difference makes of its base."""
    return "".join(item if isinstance(item, str) else base[item[0] : item[1]] for item in delta)


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The difference between a configuration in force and a new one.

    Attributes:
        tree: as `tree_delta` returns it.
        source: as `text_delta` returns it; None if the new configuration has no document.
    """

    tree: dict[str, Any]
    source: TextDelta | None

    @classmethod
    def between(
        cls,
        base_tree: dict[str, Any],
        base_source: str | None,
        tree: dict[str, Any],
        source: str | None,
    ) -> "ConfigurationDelta":
        """Return the difference from one tree and document to others."""
        return cls(
            tree_delta(base_tree, tree),
            None if source is None else text_delta(base_source or "", source),
        )

    def size_bytes(self) -> int:
        """Return the length of the difference as JSON."""
        return len(json.dumps([self.tree, self.source], separators=(",", ":")))

    def apply_to(
        self, base_tree: dict[str, Any], base_source: str | None
    ) -> tuple[dict[str, Any], str | None]:
        """Return the new tree and document.

        Raises:
            KeyError: the difference was made from another configuration.
        """
        source = None
        if self.source is not None:
            source = apply_text_delta(base_source or "", self.source)
        return apply_tree_delta(base_tree, self.tree), source
