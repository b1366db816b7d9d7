"""What a library would load but does not need is kept out while the library is imported."""

import sys
from contextlib import contextmanager
from importlib.machinery import PathFinder


@contextmanager
def without(*names: str):
    """Invariant: what is loaded already stays.

    And afterwards everybody may import the names as ever.
    """
    barred = [name for name in names if name not in sys.modules]
    sys.modules.update({name: None for name in barred})
    try:
        yield
    finally:
        for name in barred:
            del sys.modules[name]


@contextmanager
def unfound(*names: str):
    """For a library that looks whether another one is installed before it imports it.

    Invariant: afterwards all is found as ever.
    """
    held = PathFinder.__dict__["find_spec"]
    find = PathFinder.find_spec
    PathFinder.find_spec = classmethod(
        lambda cls, name, *more: None if name in names else find(name, *more)
    )
    try:
        yield
    finally:
        PathFinder.find_spec = held
