"""A proxy's data side over real sockets, its control side set by hand.

Origins are scripted byte for byte.
"""

import contextlib
from collections import Counter
from types import MappingProxyType

from gevent.server import StreamServer
from geventhttpclient import HTTPClient

from willowpost.configuration.checker import ConfigurationChecker
from willowpost.configuration.routes import RouteTable, routes_of
from willowpost.node.node_state import DaemonDescriptor
from willowpost.proxy.admission.quota_admission import QuotaAdmission
from willowpost.proxy.admission.retry_budget import RetryBudget
from willowpost.proxy.admission.slow_start import SlowStartAdmission
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.frontend import Frontend, FrontendOptions
from willowpost.proxy.handler import ProxyHandler
from willowpost.proxy.origin.connection_pool import ConnectionPool
from willowpost.proxy.origin.connections import OriginConnections
from willowpost.proxy.origin.selection import OriginSelector
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.proxy_state import Grant, ProxyState
from willowpost.proxy.request_memory import RequestMemory
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.plan_executor import PlanExecutor
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.snapshot import RoutableOrigin, RoutableService, RoutingSnapshot
from willowpost.shell.web_server import WebServer
from willowpost.state.entries import Ownership
from willowpost.state.tables import Tables

CONFIGURATION = {
    "services": {"g": {"rate": 1000}},
    "settings": {"service": "g", "keep_seconds": 60, "body_max": 1000, "whole_max": 5000},
    "branches": {
        "all": {"host": "h.example", "path": "/", "settings": {"methods": ["GET", "HEAD"]}},
        "write": {"host": "h.example", "path": "/w", "settings": {"methods": ["POST"]}},
    },
}


class HandClock:
    """Moves only when told."""

    def __init__(self):
        self.time = 1_000_000_000

    def now(self):
        return self.time


class ScriptedOrigin:
    """Answers each request with the next of `answers`: bytes, None (close without a word).

    Or "hang".
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests: list[bytes] = []
        self.connections: list[int] = []  # for each request, the number of its connection
        self.opened = 0
        self.open: list = []
        self.hold = None  # called with each request before it is answered
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, connection, _):
        with contextlib.suppress(ConnectionError):  # a proxy that gives up resets the connection
            self._answer_all(connection)

    def _answer_all(self, connection):
        self.opened += 1
        self.open.append(connection)
        number = self.opened
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                block = connection.recv(65536)
                if not block:
                    return
                data += block
            head, _, body = data.partition(b"\r\n\r\n")
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ),
                0,
            )
            while len(body) < length:
                body += connection.recv(65536)
            self.requests.append(head + b"\r\n\r\n" + body)
            self.connections.append(number)
            if self.hold is not None:
                self.hold(head)
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            if callable(answer):
                answer = answer(head)
            if answer is None:
                connection.close()
                return
            closes = b"connection: close" in answer.lower()
            connection.sendall(answer)
            if closes:
                connection.close()
                return


def answer(body=b"ok", status="200 OK", length=None, **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body) if length is None else length}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class ServedProxy:
    def __init__(self, *origins, role="edge", configuration=CONFIGURATION, memory=None):
        assert ConfigurationChecker().check_value(configuration).is_ok()
        self.clock = HandClock()
        self.node_state = ProxyState(
            DaemonDescriptor("p", "proxy", role, "p", "a", "127.0.0.1:1", "127.0.0.1:1", 1),
            Tables(slot=5, epoch=1),
        )
        self.node_state.fresh_as_of = self.clock.now()
        self.configuration = ConfigurationChecker().check_value(configuration).unwrap()
        self.cache = CacheStore()
        self.stats = Counter()
        self.pool = ConnectionPool(self.clock)
        self.set_origins(origins)
        self.node_state.tables = Tables(
            slot=5, epoch=1, ownerships={"quota_share/g": Ownership("p", 1)}
        )
        self.node_state.grants = {"g": Grant(1000.0, self.clock.now() + 10**12, 1)}
        self.quota_admission = QuotaAdmission(self.node_state)
        attempts = Attempts(
            AttemptResources(
                node_state=self.node_state,
                clock=self.clock,
                quota_admission=self.quota_admission,
                slow_start=SlowStartAdmission(self.node_state),
                retry_budget=RetryBudget(lambda: 1, 0),
                origin_selector=OriginSelector("a"),
                io=OriginConnections(self.pool),
                stats=self.stats,
                outgoing=OutgoingRequests(self.node_state, self.clock.now),
            )
        )
        executor = PlanExecutor(self.node_state, self.cache, self.clock, attempts, self.stats)
        logger = type(
            "Quiet", (), {"log": lambda self, *a, **k: self.held.append((a, k)), "held": []}
        )()
        self.logger = logger
        self.front = Frontend(
            self.node_state,
            self.clock,
            RequestPlanner(self.node_state, self.cache, self.clock),
            executor,
            self.stats,
            logger,
            FrontendOptions(memory=memory or RequestMemory()),
        )
        self.web = WebServer("127.0.0.1:0", self.front, ProxyHandler)
        self.web.start()
        self.quota_admission.admit("g", self.clock.now())
        self.clock.time += 1_000_000
        self.node_state.fresh_as_of = self.clock.now()

    def set_origins(self, origins, instance_check=None, zones=(), cold=False, **settings):
        """`settings`: further attributes of the service.

        The incarnation of the first origin is "incarnation-0", and so on.
        """
        routable_origins = tuple(
            RoutableOrigin(
                origin.address + "@1",
                origin.address,
                zones[number] if zones else "a",
                100,
                10,
                cold,
                instance_check,
                f"incarnation-{number}",
            )
            for number, origin in enumerate(origins)
        )
        self.node_state.snapshot = RoutingSnapshot(
            5,
            1,
            RouteTable(routes_of(self.configuration)),
            MappingProxyType(
                {
                    "g": RoutableService(
                        1000, 10, ("p",), MappingProxyType({"p": 1.0}), routable_origins, **settings
                    )
                }
            ),
            frozenset(card.name for card in routable_origins),
        )

    @property
    def address(self):
        return ("127.0.0.1", self.web.server.server_port)

    def ask(self, method, path, body=b"", **headers):
        client = HTTPClient(*self.address, network_timeout=5)
        try:
            sent = {
                "Host": "h.example",
                **{name.replace("_", "-"): value for name, value in headers.items()},
            }
            held = client.request(method, path, body=body, headers=sent)
            return (
                held.status_code,
                bytes(held.read()),
                {name.lower(): value for name, value in held.headers},
            )
        finally:
            client.close()

    def stop(self):
        self.web.stop(0)
