"""wpregistry: the process that serves the control API to origins and operators."""

from collections.abc import Callable, Iterable

from willowpost.common.clock import Clock
from willowpost.registry.api.route import Route
from willowpost.registry.api.routes import ControlApiRoutes
from willowpost.registry.health_checker import HealthChecker
from willowpost.registry.metrics import RegistryMetrics
from willowpost.registry.node import RegistryNode
from willowpost.shell.call_memory import CallMemory
from willowpost.shell.health_check import TOKEN_HEADER
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.request_cuts import CutCause, RequestCuts
from willowpost.shell.router import Router
from willowpost.shell.runner import Runner
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.web_server import CountingHandler, WebServer
from willowpost.state.entries import DaemonDescriptor


class RegistryDaemon:
    """A registry with its server.

    Args:
        settings: the checked settings.
        logger: where log lines go.
        make_routes: makes the routes of `ControlApiRoutes`; another entry point may put its own
            before them.
        token_header: see `HealthChecker`.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        logger: StructuredLogger,
        make_routes: Callable[[ControlApiRoutes], Iterable[Route]] = ControlApiRoutes.routes,
        token_header: str = TOKEN_HEADER,
    ) -> None:
        assert settings.http is not None, "the settings of a registry need http"
        self.runner = Runner(settings.address, logger)
        clock = Clock()
        descriptor = DaemonDescriptor(
            id=f"{settings.name}/registry",
            kind="registry",
            role="core",
            name=settings.name,
            zone=settings.zone,
            address=settings.address,
            http=settings.http,
            incarnation=clock.wall(),
        )
        health_checker = HealthChecker(self.runner, token_header)
        self.node = RegistryNode(descriptor, settings.seeds, clock.wall, health_checker.start_check)
        api = ControlApiRoutes(self.runner)
        router = Router(
            make_routes(api),
            logger,
            lambda: self.node.node_state.is_draining,
            self.node.arrival_positions.before_arrival,
            CallMemory(settings.memory_bytes),
        )
        self.node.shutdown.timeouts = settings.shutdown_timeouts()
        self.node.shutdown.in_flight = lambda: router.in_flight
        self.router = router
        self.cuts = RequestCuts("core", lambda: self.node.shutdown.stage, logger.log)
        self.web = WebServer(settings.http, router, CountingHandler)
        self.node.arrival_positions.is_accepting = self.web.is_accepting
        self.metrics: WebServer | None = None
        if settings.metrics is not None:
            metrics = RegistryMetrics(
                self.node.node_state,
                router,
                api.log_client.submissions,
                self.cuts,
                self.node.tables_check.violations,
                self.runner.clock.now,
            )
            self.metrics = WebServer(settings.metrics, MetricsPage(metrics))

    def start(self) -> None:
        """Run the node, then the HTTP servers."""
        self.runner.start(self.node)
        self.web.start()
        if self.metrics is not None:
            self.metrics.start()

    def stop(self, requested_at: int) -> None:
        """End as planned (`node/graceful_shutdown.py`); returns when the process may end.

        Args:
            requested_at: when the machine asked for it; µs, own clock.
        """
        self.runner.shut_down(requested_at, self.web.server.close)
        self.cuts.record(CutCause.PROCESS_ENDED, self.router.in_flight)
