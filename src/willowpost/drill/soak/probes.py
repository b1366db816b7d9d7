"""Callers that find out which changes of the configuration each edge obeys."""

import random
from dataclasses import dataclass

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.soak.callers import AnswerEndedError, CallerConnection
from willowpost.drill.soak.configurations import Change
from willowpost.drill.soak.fleet import HOST

PROBE_PAUSE_SECONDS = 0.08  # between two probes of one edge, in the mean
OLDER_ROUTES = 4  # probes name one of the last routes


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


class RouteProbes:
    """A caller for each edge, which asks on recent routes on one connection after the other.

    Args:
        clock: The machine's clock.
        edges: Addresses of the edges.
        changes: The changes so far; grows meanwhile.
        seed: Of the choices.
    """

    def __init__(self, clock: Clock, edges: list[str], changes: list[Change], seed: int) -> None:
        self.clock, self.changes = clock, changes
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
        text = f"GET /change-{route}/{name} HTTP/1.1\r\nHost: {HOST}\r\nWp-Request: {name}\r\n"
        try:
            connection.socket.sendall(f"{text}\r\n".encode())
            status, headers, _ = connection.read()
        except (OSError, AnswerEndedError):
            return False
        probe.status, probe.answered_at = status, self.clock.now()
        return headers.get("connection", "") != "close"
