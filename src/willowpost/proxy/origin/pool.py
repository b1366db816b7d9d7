"""Idle connections to origins and shields, and the number of open ones, by owner."""

import re
from collections import deque

from gevent import socket

IDLE_MOST = 32
IDLE_SPAN = 10_000_000
KEEP_MARGIN = 1_500_000  # before the other side says that it closes, ours is closed
SECOND = 1_000_000
TIMEOUT = re.compile(r"timeout=(\d+)")


def idle_span(keep: str | None) -> int:
    """How long an idle connection may be reused, in µs, by the other side's Keep-Alive header."""
    said = TIMEOUT.search(keep or "")
    return (
        IDLE_SPAN if said is None else min(IDLE_SPAN, max(0, int(said[1]) * SECOND - KEEP_MARGIN))
    )


def quiet(connection) -> bool:
    """Whether nothing has arrived on an idle connection, not even its end.

    Data that arrives unasked belongs to no request, so such a connection is not reused.
    """
    try:
        connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


class ConnectionPool:
    """A pool that uses a connection only for the owner it was opened for.

    An owner is one incarnation of one origin, or one shield. Owners out of force hold no idle
    connections.
    """

    def __init__(self, clock):
        self.clock = clock
        self.idle: dict[str, deque] = {}
        self.busy: dict[str, int] = {}

    def open(self, owner: str) -> int:
        """The number of connections of this owner, in use and idle."""
        return self.busy.get(owner, 0) + len(self.idle.get(owner, ()))

    def began(self, owner: str) -> None:
        """Counts a connection of this owner as in use."""
        self.busy[owner] = self.busy.get(owner, 0) + 1

    def ended(self, owner: str) -> None:
        """Ends the count of a connection in use."""
        left = self.busy.get(owner, 1) - 1
        if left:
            self.busy[owner] = left
        else:
            self.busy.pop(owner, None)

    def take(self, owner: str):
        """An idle connection that can still be used, the newest first, or None."""
        held = self.idle.get(owner)
        while held:
            connection, until = held.pop()
            if self.clock.now() < until and quiet(connection):
                return connection
            connection.close()
        return None

    def room(self, owner: str) -> None:
        """Closes the owner's oldest idle connection, to make room for a new one."""
        held = self.idle.get(owner)
        if held:
            held.popleft()[0].close()

    def give(self, owner: str, connection, keep: str | None = None) -> None:
        """Keeps a connection for reuse.

        Args:
            owner: Whom it belongs to.
            connection: The connection.
            keep: The other side's Keep-Alive header, or None.
        """
        held = self.idle.setdefault(owner, deque())
        held.append((connection, self.clock.now() + idle_span(keep)))
        while len(held) > IDLE_MOST:
            held.popleft()[0].close()

    def keep_only(self, owners) -> None:
        """Closes idle connections that have expired or belong to other owners."""
        now = self.clock.now()
        for owner in list(self.idle):
            held = self.idle[owner]
            while held and (owner not in owners or held[0][1] <= now):
                held.popleft()[0].close()
            if not held:
                del self.idle[owner]
