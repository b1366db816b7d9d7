"""Runs a daemon until the machine wants it to end; the signals are the same for every entry."""

import signal

import gevent
from gevent.event import Event

from willowpost.common.events import Changed
from willowpost.shell.place import Place


def serve(daemon, logs, reload=lambda: None) -> None:
    """reload() gives the Place to go on with, or None when the old one stays.

    Returns when the daemon has ended as planned.
    """
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, lambda: _heed(reload(), daemon, logs))
    daemon.start()
    logs.say("program", "started", address=daemon.runner.mesh.address)
    stopped.wait()
    daemon.stop()
    logs.say("program", "stopped")


def _heed(place: Place | None, daemon, logs) -> None:
    if place is not None:
        logs.heed(place.level)
        daemon.runner.inbox.put(Changed(tuple(place.seeds), place.pace))
