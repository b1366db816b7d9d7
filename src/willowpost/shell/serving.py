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

Reload = Callable[[], ProcessSettings | None]


class Daemon(Protocol):
    """What can be started and stopped, and steps its node by a runner."""

    runner: Runner

    def start(self) -> None:
        """Take up the work; returns at once."""

    def stop(self) -> None:
        """End as planned; returns when all is finished."""


def serve(daemon: Daemon, logger: StructuredLogger, reload: Reload = lambda: None) -> None:
    """reload() gives the Place to go on with, or None when the old one stays.

    Returns when the daemon has ended as planned.
    """
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, lambda: _heed(reload(), daemon, logger))
    daemon.start()
    logger.log("program", "started", address=daemon.runner.mesh.address)
    stopped.wait()
    daemon.stop()
    logger.log("program", "stopped")


def _heed(place: ProcessSettings | None, daemon: Daemon, logger: StructuredLogger) -> None:
    if place is not None:
        logger.set_level(place.level)
        daemon.runner.inbox.put(SettingsChanged(tuple(place.seeds), place.pace))
