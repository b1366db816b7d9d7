"""Connections, each belonging to one incarnation of one origin (or one shield): idle ones.

And how many are open.
"""

import re
from collections import deque

from gevent import socket

IDLE_MOST = 32
IDLE_SPAN = 10_000_000
KEEP_MARGIN = 1_500_000  # before the other side says that it closes, ours is closed
SECOND = 1_000_000
TIMEOUT = re.compile(r"timeout=(\d+)")


def idle_span(keep: str | None) -> int:
    """How long an idle connection may be used again, by what its other side says (whole seconds)."""
    said = TIMEOUT.search(keep or "")
    return (
        IDLE_SPAN if said is None else min(IDLE_SPAN, max(0, int(said[1]) * SECOND - KEEP_MARGIN))
    )


def quiet(connection) -> bool:
    """Nothing has come on it, not even its end: what comes unasked belongs to no request."""
    try:
        connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


class ConnectionPool:
    """Invariants: a connection is only ever used for the owner it was opened for.

    Owners out of force hold none; `open` counts those under way and idle, by owner.
    """

    def __init__(self, clock):
        self.clock = clock
        self.idle: dict[str, deque] = {}
        self.busy: dict[str, int] = {}

    def open(self, owner: str) -> int:
        return self.busy.get(owner, 0) + len(self.idle.get(owner, ()))

    def began(self, owner: str) -> None:
        self.busy[owner] = self.busy.get(owner, 0) + 1

    def ended(self, owner: str) -> None:
        left = self.busy.get(owner, 1) - 1
        if left:
            self.busy[owner] = left
        else:
            self.busy.pop(owner, None)

    def take(self, owner: str):
        held = self.idle.get(owner)
        while held:
            connection, until = held.pop()
            if self.clock.now() < until and quiet(connection):
                return connection
            connection.close()
        return None

    def room(self, owner: str) -> None:
        """One idle connection less, so that a fresh one stays within the cap."""
        held = self.idle.get(owner)
        if held:
            held.popleft()[0].close()

    def give(self, owner: str, connection, keep: str | None = None) -> None:
        held = self.idle.setdefault(owner, deque())
        held.append((connection, self.clock.now() + idle_span(keep)))
        while len(held) > IDLE_MOST:
            held.popleft()[0].close()

    def keep_only(self, owners) -> None:
        now = self.clock.now()
        for owner in list(self.idle):
            held = self.idle[owner]
            while held and (owner not in owners or held[0][1] <= now):
                held.popleft()[0].close()
            if not held:
                del self.idle[owner]
