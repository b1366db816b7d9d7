"""What a library would load but does not need is kept out while the library is imported."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import PathFinder


@contextmanager
def without(*names: str) -> Iterator[None]:
    """Invariant: what is loaded already stays.

    And afterwards everybody may import the names as ever.
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
    """For a library that looks whether another one is installed before it imports it.

    Invariant: afterwards all is found as ever.
    """
    held = PathFinder.__dict__["find_spec"]
    find = PathFinder.find_spec
    hiding = classmethod(lambda cls, name, *more: None if name in names else find(name, *more))
    setattr(PathFinder, "find_spec", hiding)  # noqa: B010  a method is replaced on purpose
    try:
        yield
    finally:
        setattr(PathFinder, "find_spec", held)  # noqa: B010
