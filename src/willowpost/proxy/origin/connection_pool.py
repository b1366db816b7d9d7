"""The connection pool: idle connections to origins and shields, and the number of open ones."""

import re
from collections import deque
from collections.abc import Container
from typing import Any, NamedTuple

from gevent import socket

from willowpost.common.clock import SECOND, Clock

MAX_IDLE_CONNECTIONS = 32  # of one owner
MAX_IDLE_US = 10 * SECOND
# an idle connection is closed so long before the time-out that the other side announced
KEEP_ALIVE_MARGIN_US = 1_500_000
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


def idle_lifetime_us(keep_alive: str | None) -> int:
    """Returns how long an idle connection may be reused, in µs, by a Keep-Alive header."""
    timeout = KEEP_ALIVE_TIMEOUT.search(keep_alive or "")
    if timeout is None:
        return MAX_IDLE_US
    return min(MAX_IDLE_US, max(0, int(timeout[1]) * SECOND - KEEP_ALIVE_MARGIN_US))


def is_quiet(connection: Any) -> bool:
    """Whether nothing has arrived on an idle connection, not even its end.

    Unsolicited data belongs to no request, so such a connection is not reused.
    """
    try:
        connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


class IdleConnection(NamedTuple):
    """A connection that waits for its next request.

    Attributes:
        connection: The socket.
        expires_at: When it is not reused any more, by this process's clock, in µs.
    """

    connection: Any
    expires_at: int


class ConnectionPool:
    """A pool that uses a connection only for the owner it was opened for.

    An owner is one incarnation of one origin, or one shield. Owners out of force have no idle
    connections.

    Args:
        clock: This process's clock.

    Attributes:
        idle: The idle connections by owner, the oldest first.
        busy: The number of connections in use by owner.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.idle: dict[str, deque[IdleConnection]] = {}
        self.busy: dict[str, int] = {}

    def count_open(self, owner: str) -> int:
        """Returns the number of connections of this owner, in use and idle."""
        return self.busy.get(owner, 0) + len(self.idle.get(owner, ()))

    def record_start(self, owner: str) -> None:
        """Counts a connection of this owner as in use."""
        self.busy[owner] = self.busy.get(owner, 0) + 1

    def record_end(self, owner: str) -> None:
        """Ends the count of a connection in use."""
        remaining = self.busy.get(owner, 1) - 1
        if remaining:
            self.busy[owner] = remaining
        else:
            self.busy.pop(owner, None)

    def take(self, owner: str) -> Any:
        """Returns an idle connection that can still be used, the newest first, or None."""
        idle = self.idle.get(owner)
        while idle:
            newest = idle.pop()
            if self.clock.now() < newest.expires_at and is_quiet(newest.connection):
                return newest.connection
            newest.connection.close()
        return None

    def close_oldest_idle(self, owner: str) -> None:
        """Closes the owner's oldest idle connection, if any, to make room for a new one."""
        idle = self.idle.get(owner)
        if idle:
            idle.popleft().connection.close()

    def put(self, owner: str, connection: Any, keep_alive: str | None = None) -> None:
        """Stores a connection for reuse.

        Args:
            owner: Whom it belongs to.
            connection: The connection.
            keep_alive: The other side's Keep-Alive header, or None.
        """
        idle = self.idle.setdefault(owner, deque())
        idle.append(IdleConnection(connection, self.clock.now() + idle_lifetime_us(keep_alive)))
        while len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().connection.close()

    def retain_only(self, owners: Container[str]) -> None:
        """Closes idle connections that have expired or belong to other owners."""
        now = self.clock.now()
        for owner in list(self.idle):
            idle = self.idle[owner]
            while idle and (owner not in owners or idle[0].expires_at <= now):
                idle.popleft().connection.close()
            if not idle:
                del self.idle[owner]
