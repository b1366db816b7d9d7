"""Keeps a command running until somebody wants it to end."""

import signal
import sys
from collections.abc import Callable

import gevent
from gevent.event import Event

ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM)
# handlers of signals alone do not keep gevent's loop alive, a timer does
LOOK_SECONDS = 1.0


class Hold:
    """Waits for a line on standard input or a signal.

    Invariant: an input that is closed, or at its end, ends nothing: then only a signal does.
    """

    def __init__(self, say: Callable[[str], None]):
        self.say = say
        self.ended = Event()
        for number in ENDING_SIGNALS:
            gevent.signal_handler(number, self.ended.set)

    def wait(self) -> None:
        """Return once a line was read, or SIGINT or SIGTERM came."""
        gevent.spawn(self._read)
        while not self.ended.wait(LOOK_SECONDS):
            pass

    def _read(self) -> None:
        if gevent.get_hub().threadpool.apply(_line):
            self.ended.set()
        else:
            self.say("no input; SIGINT or SIGTERM ends it")


def _line() -> str:
    """A line of standard input; none at its end, or where there is no input."""
    try:
        return sys.stdin.readline()
    except (AttributeError, ValueError, OSError):
        return ""
