"""Keeps optional dependencies of a library from being loaded while the library is imported."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import PathFinder


@contextmanager
def blocked_imports(*names: str) -> Iterator[None]:
    """Make importing `names` raise ImportError within the block.

    Modules that are loaded already stay; afterwards the names can be imported as before.
    """
    blocked = [name for name in names if name not in sys.modules]
    for name in blocked:
        sys.modules[name] = None  # type: ignore[assignment]  # import then raises
    try:
        yield
    finally:
        for name in blocked:
            del sys.modules[name]


@contextmanager
def hidden_packages(*names: str) -> Iterator[None]:
    """Hide `names` from the import system's path search within the block.

    For a library that checks whether another one is installed before importing it.
    """
    original = PathFinder.__dict__["find_spec"]
    find_spec = PathFinder.find_spec
    hiding = classmethod(lambda cls, name, *rest: None if name in names else find_spec(name, *rest))
    setattr(PathFinder, "find_spec", hiding)  # noqa: B010  a method is replaced on purpose
    try:
        yield
    finally:
        setattr(PathFinder, "find_spec", original)  # noqa: B010
