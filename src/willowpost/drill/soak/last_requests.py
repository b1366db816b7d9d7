"""Requests that an edge takes late in its planned end, and has to answer all the same."""

import random

import gevent

from willowpost.drill.soak.callers import AnswerEndedError, CallerConnection, SoakCallers
from willowpost.drill.soak.fleet import GRACE_SECONDS

CONNECTIONS = 8
SENT_SECONDS = (0.2, 2.1)  # after the SIGTERM; the edge takes requests for 2.25 s
# Origins are done shortly before the last sixth of the grace.
DONE_SECONDS = (GRACE_SECONDS * 5 / 6 - 0.6, GRACE_SECONDS * 5 / 6 - 0.1)
MS_PER_SECOND = 1000


class LastRequests:
    """Callers of one edge with connections kept since before its SIGTERM.

    Args:
        callers: Whose tally gets the requests.
        edge: The edge's address.
        chance: Of their times.
    """

    def __init__(self, callers: SoakCallers, edge: str, chance: random.Random) -> None:
        self._callers, self._edge, self._chance = callers, edge, chance
        self._connections: list[CallerConnection] = []

    def open(self) -> None:
        """Connect, as far as the edge takes connections."""
        for _ in range(CONNECTIONS):
            try:
                self._connections.append(CallerConnection(self._edge))
            except OSError:
                return

    def start(self) -> None:
        """Begin to send, right before the SIGTERM; returns at once."""
        for connection in self._connections:
            sent, done = self._chance.uniform(*SENT_SECONDS), self._chance.uniform(*DONE_SECONDS)
            gevent.spawn(self._ask, connection, sent, done)

    def _ask(self, connection: CallerConnection, sent: float, done: float) -> None:
        gevent.sleep(sent)
        try:
            self._callers.ask_once(connection, self._edge, round((done - sent) * MS_PER_SECOND))
        except (OSError, AnswerEndedError):
            pass  # the tally has it
        finally:
            connection.socket.close()
