"""A soak's configuration changes, and the callers that find out which of them an edge obeys.

Change number n has the routes n and n - 1 only: it adds one and drops one. So a request on a route
shows by which changes it can have been handled.
"""

import copy
import random
from dataclasses import dataclass
from typing import Any

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.soak.callers import AnswerEndedError, CallerConnection

PROBE_PAUSE_SECONDS = 0.08  # between two probes of one edge, in the mean
OLDER_ROUTES = 4  # probes name one of the last routes
REFUSED_STATUSES = (307, 409, 412, 422, 503)  # of a change that is certainly not in force


@dataclass(slots=True)
class Change:
    """One change; times are µs of the machine's clock.

    Attributes:
        number: Of the change, from 1 on.
        sent_at: When it was sent.
        accepted_at: When it was acknowledged; None: it was not.
        version: That it was acknowledged under; None: it was not.
        is_possible: Whether it may be in force, now or later.
    """

    number: int
    sent_at: int
    accepted_at: int | None = None
    version: int | None = None
    is_possible: bool = True

    def has_route(self, route: int) -> bool:
        """Whether the change has a route."""
        return route in (self.number, self.number - 1)


@dataclass(slots=True)
class Probe:
    """One request on a route of a change.

    Attributes:
        edge: The edge's address.
        route: Number of the route.
        sent_at: By the machine's clock, in µs.
        answered_at: When its answer came; None: none came.
        status: Of its answer.
    """

    edge: str
    route: int
    sent_at: int
    answered_at: int | None = None
    status: int | None = None


def tree_of_change(tree: dict[str, Any], host: str, number: int) -> dict[str, Any]:
    """Returns a configuration with the routes of a change; those through shields take turns."""
    changed = copy.deepcopy(tree)
    changed["settings"]["deadline_ms"] += number
    for route in (number - 1, number):
        kind = (
            {"kind": "kept", "service": "pages", "keep_seconds": 1}
            if route % 2
            else {"kind": "repeatable"}
        )
        changed["branches"][f"change-{route}"] = {
            "host": host,
            "path": f"/change-{route}/",
            "settings": kind,
        }
    return changed


class RouteProbes:
    """A caller for each edge, which asks on recent routes on one connection after the other.

    Args:
        clock: The machine's clock.
        edges: Addresses of the edges.
        host: The configuration's host.
        changes: The changes so far; grows meanwhile.
        seed: Of the choices.
    """

    def __init__(
        self, clock: Clock, edges: list[str], host: str, changes: list[Change], seed: int
    ) -> None:
        self.clock, self.host, self.changes = clock, host, changes
        self.chances = {edge: random.Random(f"probe {seed} {edge}") for edge in edges}
        self.sent: dict[str, Probe] = {}  # by the id of the request
        self.is_running = False
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to ask."""
        self.is_running = True
        self.tasks = [gevent.spawn(self._run, edge) for edge in self.chances]

    def stop(self) -> None:
        """Ask no more, and wait for the last answers."""
        self.is_running = False
        gevent.joinall(self.tasks)

    def _run(self, edge: str) -> None:
        while self.is_running:
            try:
                connection = CallerConnection(edge)
            except OSError:
                gevent.sleep(PROBE_PAUSE_SECONDS)
                continue
            try:
                while self.is_running and self._ask(connection, edge):
                    gevent.sleep(self.chances[edge].expovariate(1 / PROBE_PAUSE_SECONDS))
            finally:
                connection.socket.close()

    def _ask(self, connection: CallerConnection, edge: str) -> bool:
        """Send one probe and read its answer; whether the connection goes on."""
        newest = self.changes[-1].number
        route = max(0, newest - self.chances[edge].randrange(OLDER_ROUTES))
        name = f"p{len(self.sent)}"
        probe = self.sent[name] = Probe(edge, route, self.clock.now())
        text = f"GET /change-{route}/{name} HTTP/1.1\r\nHost: {self.host}\r\nWp-Request: {name}\r\n"
        try:
            connection.socket.sendall(f"{text}\r\n".encode())
            status, headers, _ = connection.read()
        except (OSError, AnswerEndedError):
            return False
        probe.status, probe.answered_at = status, self.clock.now()
        return headers.get("connection", "") != "close"
