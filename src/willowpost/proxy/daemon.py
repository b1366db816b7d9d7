"""The proxy process `wpproxy`: serves clients' requests, as an edge or a shield."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent

from willowpost.common.clock import MILLISECOND, Clock
from willowpost.proxy.admission.quota_admission import QuotaAdmission
from willowpost.proxy.admission.retry_budget import RetryBudget, RetryBudgetSettings
from willowpost.proxy.admission.slow_start import SlowStartAdmission
from willowpost.proxy.client.pacing import LinkPacer
from willowpost.proxy.frontend import Frontend, FrontendOptions
from willowpost.proxy.handler import ProxyHandler
from willowpost.proxy.metrics import ProxyMetrics
from willowpost.proxy.node import ProxyNode
from willowpost.proxy.origin.connection_pool import ConnectionPool
from willowpost.proxy.origin.connections import OriginConnections
from willowpost.proxy.origin.selection import OriginSelector
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.request_memory import RequestMemory
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.plan_executor import PlanExecutor
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.request_cuts import CutCause, RequestCuts
from willowpost.shell.runner import Runner
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.web import status_line
from willowpost.shell.web_server import WebServer
from willowpost.state.entries import DaemonDescriptor

MAINTENANCE_INTERVAL_SECONDS = 0.05
LOG_INTERVAL_ROUNDS = 40  # rejections are logged once in so many rounds
EXPIRY_INTERVAL_ROUNDS = 20  # expired idle connections are closed once in so many rounds
REJECTION_PREFIX = "why."  # of the counters of rejections by reason


class HealthPage:
    """A WSGI application for a separate health port: any path gives the health status.

    Args:
        front: The proxy whose health is stated.
    """

    in_flight = 0

    def __init__(self, front: Frontend) -> None:
        self._front = front

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answers one WSGI request with the health status."""
        response = self._front.status_response()
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        start_response(status_line(response.status), headers)
        return [response.body]


class ProxyDaemon:
    """Builds a proxy from its settings and runs it: control node, web servers, connections.

    Args:
        settings: The process's settings.
        logger: Where log lines go.
        header_names: The names of the headers shared with clients and origins; None for the
            defaults.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        logger: StructuredLogger,
        header_names: HeaderNames | None = None,
    ) -> None:
        self.logger = logger
        self.runner = Runner(settings.address, logger)
        self.clock = Clock()
        self.node = self._build_node(settings)
        self.node_state = self.node.node_state
        self.stats: Counter[str] = Counter()
        self.outgoing = OutgoingRequests(self.node_state, self.clock.now, logger.log)
        self.pool = ConnectionPool(self.clock)
        self.origin_selector = OriginSelector(
            settings.zone, reports=lambda: self.node_state.reports, regions=settings.regions
        )
        self.front = self._build_front(settings, header_names or HeaderNames())
        self.node.shutdown.timeouts = settings.shutdown_timeouts()
        self.node.shutdown.in_flight = lambda: self.front.in_flight
        self.webs = self._build_servers(settings)

    def start(self) -> None:
        """Starts the control node, the web servers and the maintenance of connections."""
        self.runner.start(self.node)
        for web in self.webs:
            web.start()
        gevent.spawn(self._maintain)

    def stop(self, requested_at: int) -> None:
        """Shuts down gracefully; returns when the process may end.

        The port is closed and connections take no new requests from the stage FINISHING on.

        Args:
            requested_at: When the machine asked for it; µs, own clock.
        """
        self.runner.shut_down(requested_at, self._close)
        self.front.cuts.record(CutCause.PROCESS_ENDED, self.front.in_flight)

    def _build_node(self, settings: ProcessSettings) -> ProxyNode:
        descriptor = DaemonDescriptor(
            f"{settings.name}/proxy",
            "proxy",
            settings.role,
            settings.name,
            settings.zone,
            settings.address,
            _http_address(settings),
            self.clock.wall(),
        )
        node = ProxyNode(
            descriptor, settings.seeds, self.clock.wall, settings.cache_bytes, settings.regions
        )
        node.node_state.max_stale_serving = settings.serve_on_ms * MILLISECOND
        return node

    def _build_attempts(self, settings: ProcessSettings, header_names: HeaderNames) -> Attempts:
        budget = RetryBudget(
            self.node_state.proxy_count,
            self.clock.now(),
            RetryBudgetSettings(
                settings.extra_part, settings.extra_slack, settings.extra_window_ms * MILLISECOND
            ),
        )
        return Attempts(
            AttemptResources(
                node_state=self.node_state,
                clock=self.clock,
                quota_admission=QuotaAdmission(self.node_state),
                slow_start=SlowStartAdmission(self.node_state),
                retry_budget=budget,
                origin_selector=self.origin_selector,
                io=OriginConnections(self.pool, self.runner.request),
                stats=self.stats,
                header_names=header_names,
                regions=settings.regions or {},
                outgoing=self.outgoing,
            )
        )

    def _build_front(self, settings: ProcessSettings, header_names: HeaderNames) -> Frontend:
        attempts = self._build_attempts(settings, header_names)
        executor = PlanExecutor(self.node_state, self.node.cache, self.clock, attempts, self.stats)
        planner = RequestPlanner(self.node_state, self.node.cache, self.clock, settings.regions)
        shutdown = self.node.shutdown
        options = FrontendOptions(
            header_names,
            settings.health is None,
            LinkPacer(settings.link_mbps),
            RequestCuts(settings.role, lambda: shutdown.stage, self.logger.log),
            RequestMemory(settings.memory_bytes),
        )
        return Frontend(
            self.node_state, self.clock, planner, executor, self.stats, self.logger, options
        )

    def _build_servers(self, settings: ProcessSettings) -> list[WebServer]:
        """Returns the web servers, the clients' first."""
        servers = [WebServer(_http_address(settings), self.front, ProxyHandler)]
        if settings.health is not None:
            servers.append(WebServer(settings.health, HealthPage(self.front)))
        if settings.metrics is not None:
            violations = self.node.tables_check.violations
            metrics = ProxyMetrics(self.front, self.node_state, self.outgoing, violations)
            servers.append(WebServer(settings.metrics, MetricsPage(metrics)))
        return servers

    def _maintain(self) -> None:
        """Closes idle connections, checks the requests in flight, and logs rejections."""
        snapshot, rounds, logged = None, 0, Counter[str]()
        while True:
            rounds += 1
            self.front.stall_detector.record_run()
            self.outgoing.check_orphaned()
            if rounds % LOG_INTERVAL_ROUNDS == 0:
                logged = self._log_rejections(logged)
            is_changed = self.node_state.snapshot is not snapshot
            if is_changed or rounds % EXPIRY_INTERVAL_ROUNDS == 0:
                snapshot = self.node_state.snapshot
                self._forget_removed(snapshot)
            gevent.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def _forget_removed(self, snapshot: RoutingSnapshot) -> None:
        """Forgets connections and measurements of all who are not in force."""
        shields = {f"shield {name} {address}" for name, address in snapshot.shields.items()}
        self.pool.retain_only(snapshot.origins | shields)
        self.origin_selector.retain_only(snapshot.origins | snapshot.shields.keys())

    def _log_rejections(self, logged: Counter[str]) -> Counter[str]:
        """Logs the rejections since `logged`, by reason, and returns the new counts."""
        counts = Counter(
            {
                name.removeprefix(REJECTION_PREFIX): count
                for name, count in self.front.stats.items()
                if name.startswith(REJECTION_PREFIX)
            }
        )
        if counts != logged:
            self.logger.log("proxy", "requests rejected", reasons=dict(counts - logged))
        return counts

    def _close(self) -> None:
        self.webs[0].server.close()
        self.front.end_connections()


def _http_address(settings: ProcessSettings) -> str:
    """Returns where clients connect; the settings' checker makes sure that it is set."""
    if settings.http is None:
        raise ValueError("a proxy needs an HTTP address")
    return settings.http
