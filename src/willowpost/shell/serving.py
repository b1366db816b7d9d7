"""Runs a daemon until the machine wants it to end; the signals are the same for every entry."""

import signal
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

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

    def stop(self) -> None:
        """End by a graceful shutdown; returns when all is finished."""


def serve(
    daemon: Daemon, logger: StructuredLogger, reload_settings: ReloadSettings = _no_reload
) -> None:
    """Run a daemon until SIGTERM or SIGINT; returns when its graceful shutdown has ended.

    Args:
        daemon: what to run.
        logger: where log lines go.
        reload_settings: called on SIGHUP; returns the settings to go on with, or None when the old
            ones stay.
    """
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, lambda: _apply_settings(reload_settings(), daemon, logger))
    daemon.start()
    logger.log("program", "started", address=daemon.runner.mesh.address)
    stop_requested.wait()
    daemon.stop()
    logger.log("program", "stopped")


def _apply_settings(
    settings: ProcessSettings | None, daemon: Daemon, logger: StructuredLogger
) -> None:
    if settings is not None:
        logger.set_level(settings.level)
        daemon.runner.inbox.put(SettingsChanged(tuple(settings.seeds), settings.pace))
