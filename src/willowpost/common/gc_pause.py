"""Pauses the garbage collector for work that creates many objects at once and keeps them all.

Searching them for garbage would take nearly half of its time.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def uncollected() -> Iterator[None]:
    """Switch the collector off within the block, and back to its former state afterwards.

    The block must not wait, so that no other task runs without the collector.
    """
    running = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if running:
            gc.enable()
