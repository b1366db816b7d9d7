"""Copies a process's controllers and fingerprints them, whatever fields they have.

Both walk the object graph generically, so that a controller that gains a field needs no change
here. Frozen dataclasses, functions and scalars are shared between copies; dictionaries, lists, sets
and ordinary objects are copied, with their references to each other kept.
"""

from collections.abc import Callable, Hashable
from dataclasses import fields, is_dataclass
from enum import Enum
from types import BuiltinFunctionType, FunctionType, MethodType
from typing import Any

from willowpost.model.logical_time import is_time

_SCALARS = (str, bytes, float, bool, type(None))
_CODE = (type, FunctionType, BuiltinFunctionType)


def _keep(number: int) -> int:
    return number


def copy_of(value: Any, number: Callable[[int], int] = _keep) -> Any:
    """A copy that shares nothing mutable with `value`.

    Args:
        value: The object to copy, with all that it refers to.
        number: Applied to each integer outside frozen objects; used to age times.
    """
    return _copy(value, number, {})


def fingerprint(value: Any) -> Hashable:
    """A hashable value that is equal for two objects exactly if their contents are.

    Raises:
        ValueError: a moment stands inside a frozen object, where a tick could not age it.
    """
    return _freeze(value, {}, False)


def _is_shared(value: Any) -> bool:
    kind = type(value)
    if isinstance(value, (*_SCALARS, *_CODE, Enum)):
        return True
    parameters = getattr(kind, "__dataclass_params__", None)
    return parameters is not None and bool(parameters.frozen)


def _field_names(value: Any) -> list[str]:
    names = list(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        names += [slots] if isinstance(slots, str) else list(slots)
    return [name for name in names if name not in ("__dict__", "__weakref__")]


def _copy(value: Any, number: Callable[[int], int], copies: dict[int, Any]) -> Any:
    kind = type(value)
    if kind is int:
        return number(value)
    if _is_shared(value):
        return value
    if id(value) in copies:
        return copies[id(value)]
    if kind is tuple:
        return tuple(_copy(item, number, copies) for item in value)
    if kind is MethodType:
        return MethodType(value.__func__, _copy(value.__self__, number, copies))
    if kind is dict:
        held = copies[id(value)] = {}
        held.update({key: _copy(item, number, copies) for key, item in value.items()})
        return held
    if kind is list:
        items = copies[id(value)] = []
        items.extend(_copy(item, number, copies) for item in value)
        return items
    if isinstance(value, (set, frozenset)):
        return kind(value)
    return _copy_object(value, number, copies)


def _copy_object(value: Any, number: Callable[[int], int], copies: dict[int, Any]) -> Any:
    made = copies[id(value)] = object.__new__(type(value))
    for name in _field_names(value):
        if hasattr(value, name):
            object.__setattr__(made, name, _copy(getattr(value, name), number, copies))
    return made


def _freeze(value: Any, seen: dict[int, int], frozen: bool) -> Hashable:
    kind = type(value)
    if kind is int:
        if frozen and is_time(value):
            raise ValueError(f"the moment {value} stands inside a frozen object")
        return value  # type: ignore[no-any-return]
    if isinstance(value, (*_SCALARS, *_CODE, Enum)):
        return value
    if kind is tuple or kind is list:
        return (kind.__name__, *(_freeze(item, seen, frozen) for item in value))
    if isinstance(value, (set, frozenset)):
        return ("set", *sorted(value, key=repr))
    if kind is dict:
        items = [(key, _freeze(item, seen, frozen)) for key, item in value.items()]
        return ("dict", *sorted(items, key=lambda item: repr(item[0])))
    if kind is MethodType:
        return ("method", value.__func__, _freeze(value.__self__, seen, frozen))
    if _is_shared(value) and is_dataclass(value):
        return (kind, *(_freeze(getattr(value, held.name), seen, True) for held in fields(value)))
    return _freeze_object(value, seen)


def _freeze_object(value: Any, seen: dict[int, int]) -> Hashable:
    if id(value) in seen:
        return ("again", seen[id(value)])
    seen[id(value)] = len(seen)
    names = sorted(name for name in _field_names(value) if hasattr(value, name))
    return (type(value), *((name, _freeze(getattr(value, name), seen, False)) for name in names))
