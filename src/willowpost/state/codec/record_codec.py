"""Converts dataclasses to JSON objects: each attribute and its stored name a line.

What a text lacks gets the attribute's default; an attribute that is marked as optional is left out
of the text while it has that default. Equal values give equal objects, so equal tables have equal
texts at every daemon.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Any, Generic, TypeVar

T = TypeVar("T")
JsonObject = dict[str, Any]


def _same(value: Any) -> Any:
    return value


@dataclass(frozen=True, slots=True)
class StoredField:
    """How one attribute is stored.

    Attributes:
        name: its name in JSON.
        optional: whether it is left out while it has its default.
        encode: makes the JSON value.
        decode: reads the JSON value.
    """

    name: str
    optional: bool = False
    encode: Callable[[Any], Any] = _same
    decode: Callable[[Any], Any] = _same


class RecordCodec(Generic[T]):
    """Converts values of one class to JSON objects and back.

    Args:
        kind: the class.
        stored: the stored field of each attribute.
    """

    def __init__(self, kind: type[T], stored: Mapping[str, StoredField]):
        self.kind = kind
        defaults = {field.name: field.default for field in fields(kind)}  # type: ignore[arg-type]
        if defaults.keys() != stored.keys():
            raise TypeError(f"{kind.__name__} has other attributes than its codec")
        self.rows = tuple(
            (attribute, field.name, field, defaults[attribute])
            for attribute, field in stored.items()
        )

    def encode(self, value: T) -> JsonObject:
        """Return the JSON object of a value."""
        stored = {}
        for attribute, name, field, default in self.rows:
            found = getattr(value, attribute)
            if field.optional and found == default:
                continue
            stored[name] = field.encode(found)
        return stored

    def decode(self, stored: JsonObject) -> T:
        """Return the value of a JSON object.

        Raises:
            KeyError: an attribute without a default is missing.
            TypeError: it is no object.
            ValueError: an attribute has no such value.
        """
        values = {}
        for attribute, name, field, default in self.rows:
            if name in stored:
                values[attribute] = field.decode(stored[name])
            elif default is MISSING:
                raise KeyError(name)
        return self.kind(**values)
