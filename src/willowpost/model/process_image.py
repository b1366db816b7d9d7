"""Copies a process's controllers and fingerprints them, whatever fields they have.

Both walk the object graph generically, so that a controller that gains a field needs no change
here. Frozen dataclasses, functions and scalars are shared between copies; dictionaries, lists, sets
and ordinary objects are copied, and refer to each other as before.
"""

from collections.abc import Callable, Hashable
from dataclasses import fields
from enum import Enum
from functools import cache
from types import BuiltinFunctionType, FunctionType, MethodType
from typing import Any

from willowpost.common.errors import WillowpostError
from willowpost.model.logical_time import is_time

_SCALARS = frozenset((str, bytes, float, bool, type(None)))
_CODE = (type, FunctionType, BuiltinFunctionType)


def _unchanged(number: int) -> int:
    return number


def copy_of(value: Any, number: Callable[[int], int] = _unchanged) -> Any:
    """A copy that shares nothing mutable with `value`.

    Args:
        value: The object to copy, with all that it refers to.
        number: Applied to each integer outside frozen objects; used to age times.
    """
    return _copy(value, number, {})


@cache
def _is_frozen(kind: type) -> bool:
    parameters = getattr(kind, "__dataclass_params__", None)
    return parameters is not None and bool(parameters.frozen)


@cache
def _is_plain(kind: type) -> bool:
    return kind in _SCALARS or issubclass(kind, (*_CODE, Enum))


@cache
def _slots(kind: type) -> tuple[str, ...]:
    names: list[str] = []
    for base in kind.__mro__:
        slots = base.__dict__.get("__slots__", ())
        names += [slots] if isinstance(slots, str) else list(slots)
    return tuple(name for name in names if name not in ("__dict__", "__weakref__"))


def _fields_of(value: Any) -> dict[str, Any]:
    """The fields of an object, whether they stand in slots or in its dictionary."""
    kind: Any = type(value)
    slots = {name: getattr(value, name) for name in _slots(kind) if hasattr(value, name)}
    return {**slots, **getattr(value, "__dict__", {})}


def _copy(value: Any, number: Callable[[int], int], copies: dict[int, Any]) -> Any:
    kind: Any = type(value)
    if kind is int:
        return number(value)
    if _is_plain(kind) or _is_frozen(kind):
        return value
    if id(value) in copies:
        return copies[id(value)]
    if kind is tuple:
        return tuple([_copy(item, number, copies) for item in value])
    if kind is MethodType:
        return MethodType(value.__func__, _copy(value.__self__, number, copies))
    if kind is dict:
        entries = copies[id(value)] = {}
        for key, item in value.items():
            entries[key] = _copy(item, number, copies)
        return entries
    if kind is list:
        items = copies[id(value)] = []
        items.extend([_copy(item, number, copies) for item in value])
        return items
    if isinstance(value, (set, frozenset)):
        return kind(value)
    return _copy_object(value, number, copies)


def _copy_object(value: Any, number: Callable[[int], int], copies: dict[int, Any]) -> Any:
    made = copies[id(value)] = object.__new__(type(value))
    for name, item in _fields_of(value).items():
        object.__setattr__(made, name, _copy(item, number, copies))
    return made


class FrozenTimeError(WillowpostError, ValueError):
    """A time is inside a frozen object, where a timed tick could not age it."""


class Fingerprints:
    """Makes hashable values that are equal for two objects exactly if their contents are.

    Invariant: a frozen object is fingerprinted once; it stays referenced, so that its id is not
    reused.
    """

    def __init__(self) -> None:
        self._frozen: dict[int, tuple[Any, Hashable]] = {}

    def of(self, value: Any) -> Hashable:
        """The fingerprint of an object with all that it refers to.

        Raises:
            FrozenTimeError: a time is inside a frozen object.
        """
        return self._key(value, {})

    def _key(self, value: Any, seen: dict[int, int]) -> Hashable:
        kind: Any = type(value)
        if kind is int or _is_plain(kind):
            return value  # type: ignore[no-any-return]
        if kind is tuple or kind is list:
            return (kind, *[self._key(item, seen) for item in value])
        if kind is dict:
            return (kind, *self._items(value, seen))
        if _is_frozen(kind):
            return self._frozen_key(value)
        if isinstance(value, (set, frozenset)):
            return ("set", *sorted(value, key=repr))
        if kind is MethodType:
            return (kind, value.__func__, self._key(value.__self__, seen))
        return self._object_key(value, seen)

    def _items(self, entries: dict[Any, Any], seen: dict[int, int]) -> list[tuple[Any, Hashable]]:
        """A dictionary's entries; their order, which the controllers do not rely on, is dropped."""
        return sorted(
            [(key, self._key(item, seen)) for key, item in entries.items()],
            key=lambda entry: repr(entry[0]),
        )

    def _frozen_key(self, value: Any) -> Hashable:
        known = self._frozen.get(id(value))
        if known is None:
            items = [self._key(getattr(value, field.name), {}) for field in fields(value)]
            if any(type(item) is int and is_time(item) for item in items):
                raise FrozenTimeError(f"a time is inside the frozen {value!r}")
            known = self._frozen[id(value)] = (value, (type(value), *items))
        return known[1]

    def _object_key(self, value: Any, seen: dict[int, int]) -> Hashable:
        if id(value) in seen:
            return ("again", seen[id(value)])
        seen[id(value)] = len(seen)
        return (type(value), *self._items(_fields_of(value), seen))
