"""Keeps optional dependencies of a library from being loaded while the library is imported."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import PathFinder


@contextmanager
def without(*names: str) -> Iterator[None]:
    """Make importing `names` raise ImportError within the block.

    Modules that are loaded already stay; afterwards the names can be imported as before.
    """
    barred = [name for name in names if name not in sys.modules]
    for name in barred:
        sys.modules[name] = None  # type: ignore[assignment]  # import then raises
    try:
        yield
    finally:
        for name in barred:
            del sys.modules[name]


@contextmanager
def unfound(*names: str) -> Iterator[None]:
    """Hide `names` from the import system's path search within the block.

    For a library that checks whether another one is installed before importing it.
    """
    held = PathFinder.__dict__["find_spec"]
    find = PathFinder.find_spec
    hiding = classmethod(lambda cls, name, *more: None if name in names else find(name, *more))
    setattr(PathFinder, "find_spec", hiding)  # noqa: B010  a method is replaced on purpose
    try:
        yield
    finally:
        setattr(PathFinder, "find_spec", held)  # noqa: B010
