"""The lifetime of a client's request: all work for it ends when nobody waits for it any more."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from gevent import GreenletExit

from willowpost.common.clock import MILLI

# the client's task reads a close within this, unless the process stalled
CHECK_INTERVAL_US = 20 * MILLI


class CallerGone(GreenletExit):  # type: ignore[misc]  # gevent has no types here
    """Thrown into a request's task, at whatever it waits for, when its lifetime has ended.

    It is no `Exception`, so handlers of failures let it pass.
    """


def never_disconnected() -> bool:
    """The connection check of a lifetime whose client cannot be seen to disconnect."""
    return False


class RequestLifetime:
    """Whether anybody still waits for a request, and the task that works for it.

    A request whose fetch others have joined lives until the last of them has disconnected. A
    request that an origin may execute only once is not interrupted while an origin has it, but is
    not sent again.

    Invariants: once ended, a lifetime never resumes; after its end no task begins or sends.

    Args:
        is_disconnected: Whether the client has disconnected, by its connection; called before a
            byte is sent, since the close may not have been read yet. It may wait.
        now: Returns this process's clock, in µs.
        must_check: Whether to check the connection even if that was done a moment ago.

    Attributes:
        disconnected_at: When the client's close was detected, by this process's clock, in µs, or
            None.
    """

    __slots__ = (
        "_checked_at",
        "_is_disconnected",
        "_is_interrupted",
        "_is_protected",
        "_joined_requests",
        "_must_check",
        "_now",
        "_task",
        "disconnected_at",
    )

    def __init__(
        self,
        is_disconnected: Callable[[], bool] = never_disconnected,
        now: Callable[[], int] = lambda: 0,
        must_check: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_disconnected = is_disconnected
        self._must_check = must_check
        self._now = now
        self._checked_at = now()
        self._joined_requests = 0
        self._is_protected = False
        self._is_interrupted = False
        self._task: Any = None
        self.disconnected_at: int | None = None

    @property
    def has_ended(self) -> bool:
        """Whether neither the client nor anybody who joined waits any more."""
        return self.disconnected_at is not None and not self._joined_requests

    def disconnect(self) -> None:
        """Records that the client has disconnected, and interrupts the work if nobody waits."""
        if self.disconnected_at is None:
            self.disconnected_at = self._now()
            self._interrupt()

    def check(self) -> None:
        """Makes sure that somebody still waits; to be called right before a byte is sent.

        Raises:
            CallerGone: Nobody does.
        """
        self._check_connection()
        if self.has_ended:
            raise CallerGone

    @contextmanager
    def running(self, task: Any) -> Iterator[None]:
        """Runs the block as the work of this request, in `task`, which the end interrupts.

        Raises:
            CallerGone: The lifetime ended before or within the block.
        """
        if self.has_ended:
            raise CallerGone
        self._task = task
        try:
            yield
        finally:
            self._task = None

    @contextmanager
    def protected(self) -> Iterator[None]:
        """Does not interrupt the block: an origin has a request that it may execute only once."""
        self._is_protected = True
        try:
            yield
        finally:
            self._is_protected = False

    @contextmanager
    def joined(self) -> Iterator[None]:
        """Keeps this request's work alive for another request that waits for its result."""
        self._joined_requests += 1
        try:
            yield
        finally:
            self._joined_requests -= 1
            self._interrupt()

    def _check_connection(self) -> None:
        """Checks the client's connection, unless that was done a moment ago."""
        if self.disconnected_at is not None:
            return
        now = self._now()
        if now - self._checked_at >= CHECK_INTERVAL_US or self._must_check():
            self._checked_at = now
            # the check may wait, and the close be read meanwhile
            if self._is_disconnected() and self.disconnected_at is None:
                self.disconnected_at = now

    def _interrupt(self) -> None:
        may_interrupt = not self._is_protected and not self._is_interrupted
        if self.has_ended and self._task is not None and may_interrupt:
            self._is_interrupted = True
            self._task.kill(CallerGone, block=False)


# of a request without a client's connection, as in the simulator
UNWATCHED = RequestLifetime()
