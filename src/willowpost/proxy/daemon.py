"""The proxy process `wpproxy`: serves callers' requests, as an edge or a shield."""

from collections import Counter

import gevent

from willowpost.common.clock import MILLI, Clock
from willowpost.proxy.admission.buckets import Allowance, Ramp
from willowpost.proxy.admission.budget import BudgetSettings, RetryBudget
from willowpost.proxy.caller.pacing import LinkPacer
from willowpost.proxy.figures import ProxyFigures
from willowpost.proxy.front import HEALTH, Front
from willowpost.proxy.handler import ProxyHandler
from willowpost.proxy.node import ProxyNode
from willowpost.proxy.origin.io import SocketIo
from willowpost.proxy.origin.pick import OriginPicker
from willowpost.proxy.origin.pool import ConnectionPool
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.routing.carrier import Carrier
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.tries import Tries
from willowpost.proxy.routing.words import Words
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.runner import Runner
from willowpost.shell.web import WebServer, status_line
from willowpost.state.entries import DaemonDescriptor

TIDY_SECONDS = 0.05
TELLS = 40
LOOKS = 20  # idle connections that have run out are closed once in so many looks


class HealthPage:
    """A WSGI application for a separate health port: any path gives the health status.

    Args:
        front: The proxy whose health is told.
    """

    in_flight = 0

    def __init__(self, front: Front):
        self.front = front

    def __call__(self, environ, start_response):
        """Answers one WSGI request with the health status."""
        reply = self.front.own(HEALTH)
        start_response(
            status_line(reply.code), [*reply.headers, ("content-length", str(len(reply.body)))]
        )
        return [reply.body]


class ProxyDaemon:
    """Builds a proxy from its settings and runs it: control node, web servers, connections.

    Args:
        place: The process's settings.
        logs: Where log lines go.
        words: Names of the headers shared with callers and origins.
    """

    def __init__(self, place, logger, words: Words = Words()):
        self.logger = logger
        self.runner = Runner(place.address, logger)
        self.clock = Clock()
        card = DaemonDescriptor(
            f"{place.name}/proxy",
            "proxy",
            place.role,
            place.name,
            place.zone,
            place.address,
            place.http,
            self.clock.wall(),
        )
        self.node = ProxyNode(card, place.seeds, self.clock.wall, place.cache_bytes, place.regions)
        self.node_state = self.node.node_state
        self.node_state.max_stale_serving = place.serve_on_ms * MILLI
        stats = Counter()
        self.outgoing = OutgoingRequests(self.node_state, self.clock.now, logger.log)
        self.pool = ConnectionPool(self.clock)
        budget = RetryBudget(
            self.node_state.proxies,
            self.clock.now(),
            BudgetSettings(place.extra_part, place.extra_slack, place.extra_window_ms * 1000),
        )
        self.pick = OriginPicker(
            card.zone, reports=lambda: self.node_state.reports, regions=place.regions
        )
        tries = Tries(
            self.node_state,
            self.clock,
            Allowance(self.node_state),
            Ramp(self.node_state),
            budget,
            self.pick,
            SocketIo(self.pool, self.runner.want),
            stats,
            words,
            place.regions,
            self.outgoing,
        )
        carrier = Carrier(self.node_state, self.node.cache, self.clock, tries, stats)
        self.front = Front(
            self.node_state,
            self.clock,
            RequestPlanner(self.node_state, self.node.cache, self.clock, place.regions),
            carrier,
            stats,
            logger,
            words,
            place.health is None,
            LinkPacer(place.link_mbps),
        )
        self.node.shutdown.spans = place.spans()
        self.node.shutdown.in_flight = lambda: self.front.in_flight
        self.webs = [WebServer(place.http, self.front, ProxyHandler)]
        if place.health is not None:
            self.webs.append(WebServer(place.health, HealthPage(self.front)))
        if place.metrics is not None:
            figures = ProxyFigures(self.front, self.node_state, self.outgoing)
            self.webs.append(WebServer(place.metrics, MetricsPage(figures)))

    def start(self) -> None:
        """Starts the control node, the web servers and the task that closes idle connections."""
        self.runner.start(self.node)
        for web in self.webs:
            web.start()
        gevent.spawn(self._tidy)

    def _tidy(self):
        """Closes connections to owners out of force, looks at what is under way, and logs."""
        snapshot, looked, told = None, 0, Counter()
        while True:
            looked += 1
            self.front.standstill.ran()
            self.outgoing.look()
            if looked % TELLS == 0:
                told = self._tell(told)
            if self.node_state.snapshot is not snapshot or looked % LOOKS == 0:
                snapshot = self.node_state.snapshot
                self.pool.keep_only(
                    snapshot.origins
                    | {f"shield {name} {address}" for name, address in snapshot.shields.items()}
                )
                self.pick.keep_only(snapshot.origins | snapshot.shields.keys())
            gevent.sleep(TIDY_SECONDS)

    def _tell(self, told):
        """Logs the rejections since `told`, by reason, and returns the new counts."""
        now = Counter(
            {name: count for name, count in self.front.stats.items() if name.startswith("why.")}
        )
        if now != told:
            self.logger.log(
                "front",
                "reject",
                **{name.removeprefix("why."): count for name, count in (now - told).items()},
            )
        return now

    def stop(self) -> None:
        """Leaves the fleet in a planned way; returns when the process may end.

        The port is closed and connections take no new requests as soon as the leaver says so.
        """
        self.runner.leave(self._close)

    def _close(self):
        self.webs[0].server.close()
        self.front.finish()
