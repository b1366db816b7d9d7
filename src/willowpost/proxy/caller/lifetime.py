"""The lifetime of a caller's request: all work for it ends when nobody waits for it any more."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from gevent import GreenletExit

from willowpost.common.clock import MILLI

LOOK_EVERY = (
    20 * MILLI
)  # the caller's task reads a close within this, unless the process stood still


class CallerGone(GreenletExit):  # type: ignore[misc]  # gevent has no types here
    """Thrown into a request's task, at whatever it waits for, when its lifetime has ended.

    It is no `Exception`, so handlers of failures let it pass.
    """


def nobody_left() -> bool:
    """The look of a lifetime whose caller cannot be seen to leave."""
    return False


class RequestLifetime:
    """Whether anybody still waits for a request, and the task that works for it.

    A request whose fetch others have joined lives until the last of them has left. A request that
    an origin may run only once is not interrupted while an origin has it, but is not sent again.

    Invariants: once ended, a lifetime never lives again; after its end no task begins or sends.

    Args:
        look: Whether the caller has left, by its connection; asked before a byte leaves, since the
            close may not have been read yet. It may wait.
        now: Gives this process's clock, in µs.
        wary: Whether to look even if the last look was a moment ago.
    """

    __slots__ = (
        "_joined",
        "_look",
        "_looked_at",
        "_now",
        "_protected",
        "_task",
        "_told",
        "_wary",
        "left_at",
    )

    def __init__(
        self,
        look: Callable[[], bool] = nobody_left,
        now: Callable[[], int] = lambda: 0,
        wary: Callable[[], bool] = lambda: False,
    ) -> None:
        self._look = look
        self._wary = wary
        self._now = now
        self._looked_at = now()
        self._joined = 0
        self._protected = False
        self._task: Any = None
        self._told = False
        # when the caller's close was taken in, by this process's clock, in µs
        self.left_at: int | None = None

    @property
    def ended(self) -> bool:
        """Whether neither the caller nor anybody who joined waits any more."""
        return self.left_at is not None and not self._joined

    def leave(self) -> None:
        """Takes in that the caller has left."""
        if self.left_at is None:
            self.left_at = self._now()
            self._interrupt()

    def check(self) -> None:
        """Makes sure that somebody still waits; to be called right before a byte is sent.

        Raises:
            CallerGone: Nobody does.
        """
        self.look()
        if self.ended:
            raise CallerGone

    @contextmanager
    def running(self, task: Any) -> Iterator[None]:
        """Runs the block as the work of this request, in `task`, which the end interrupts.

        Raises:
            CallerGone: The lifetime ended before or within the block.
        """
        if self.ended:
            raise CallerGone
        self._task = task
        try:
            yield
        finally:
            self._task = None

    @contextmanager
    def protected(self) -> Iterator[None]:
        """Does not interrupt the block: an origin has a request that it may run only once."""
        self._protected = True
        try:
            yield
        finally:
            self._protected = False

    @contextmanager
    def joined(self) -> Iterator[None]:
        """Keeps this request's work alive for another request that waits for its result."""
        self._joined += 1
        try:
            yield
        finally:
            self._joined -= 1
            self._interrupt()

    def look(self) -> None:
        """Looks at the caller's connection, unless that was done a moment ago."""
        if self.left_at is not None:
            return
        now = self._now()
        if now - self._looked_at >= LOOK_EVERY or self._wary():
            self._looked_at = now
            if self._look() and self.left_at is None:
                self.left_at = now

    def _interrupt(self) -> None:
        if self.ended and self._task is not None and not self._protected and not self._told:
            self._told = True
            self._task.kill(CallerGone, block=False)


# of a request without a caller's connection, as in the simulator
UNWATCHED = RequestLifetime()
