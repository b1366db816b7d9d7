"""Runs a daemon until the machine wants it to end; the signals are the same for every entry."""

import os
import signal
import sys
from collections.abc import Callable
from typing import NoReturn, Protocol

import gevent
from gevent.event import Event

from willowpost.common.clock import Clock
from willowpost.common.events import SettingsChanged
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.runner import Runner
from willowpost.shell.structured_log import StructuredLogger

ReloadSettings = Callable[[], ProcessSettings | None]


def _no_reload() -> None:
    return None


class Daemon(Protocol):
    """What can be started and stopped, and steps its node by a runner."""

    runner: Runner

    def start(self) -> None:
        """Start the work; returns at once."""

    def stop(self, requested_at: int) -> None:
        """End by a graceful shutdown; returns when all is finished.

        Args:
            requested_at: when the machine asked for it; µs, own clock.
        """


class StopRequest:
    """Waits for SIGTERM or SIGINT, and knows when the first one came.

    The grace that the machine gives begins with the signal. An event loop that is busy notices it
    late, so the time is taken by Python's own handler, which runs between two bytecodes.

    Attributes:
        requested_at: when the first signal came, µs of the own clock; None: none came.
    """

    def __init__(self) -> None:
        self.requested_at: int | None = None
        self._clock = Clock()
        self._has_come = Event()
        # Its send() may be called by a signal handler, unlike all else that wakes the loop.
        self._waker = gevent.get_hub().loop.async_()
        self._waker.start(self._has_come.set)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._record)

    def wait(self) -> int:
        """Wait for a signal; returns when the first one came, in µs of the own clock."""
        self._has_come.wait()
        return self._clock.now() if self.requested_at is None else self.requested_at

    def _record(self, *_: object) -> None:
        if self.requested_at is None:
            self.requested_at = self._clock.now()
        self._waker.send()


def serve(
    daemon: Daemon, logger: StructuredLogger, reload_settings: ReloadSettings = _no_reload
) -> NoReturn:
    """Run a daemon until SIGTERM or SIGINT; the process ends with its graceful shutdown.

    Args:
        daemon: what to run.
        logger: where log lines go.
        reload_settings: called on SIGHUP; returns the settings to go on with, or None when the old
            ones stay.
    """
    stop_request = StopRequest()
    gevent.signal_handler(signal.SIGHUP, lambda: _apply_settings(reload_settings(), daemon, logger))
    daemon.start()
    logger.log("program", "started", address=daemon.runner.mesh.address)
    daemon.stop(stop_request.wait())
    logger.log("program", "stopped")
    _end_process()


def _end_process() -> NoReturn:
    """End the process at once, with exit code 0.

    The interpreter would first free everything one by one, which takes a busy machine half a second
    and more of the platform's grace. All that must outlive the process is on disk already.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(os.EX_OK)


def _apply_settings(
    settings: ProcessSettings | None, daemon: Daemon, logger: StructuredLogger
) -> None:
    if settings is not None:
        logger.set_level(settings.level)
        daemon.runner.inbox.put(SettingsChanged(tuple(settings.seeds), settings.pace))
