"""wpregistry: the process that serves the control API to origins and operators."""

import gevent

from willowpost.common.clock import Clock
from willowpost.registry.front import Front
from willowpost.registry.node import RegistryNode
from willowpost.registry.origin_health import HealthCheckFinished
from willowpost.shell.probe import probe_status
from willowpost.shell.runner import Runner
from willowpost.shell.web import CountingHandler, Router, WebServer
from willowpost.state.entries import DaemonDescriptor

PROBE_SECONDS = 1.0
UNSOUND_FROM = 500  # statuses from which an origin counts as not there


class Prober:
    """Runs health checks of silent origins; the outcome goes to the node as an event."""

    def __init__(self, runner):
        self.runner = runner

    def probe(self, origin: str, address: str, path: str | None) -> None:
        """Check an origin in the background.

        The event is ("probed", origin, sound): sound means a status below UNSOUND_FROM in
        PROBE_SECONDS.

        Args:
            origin: its name in the tables.
            address: IP:port.
            path: of the health check; None: "/".
        """
        gevent.spawn(self._probe, origin, address, path)

    def _probe(self, origin, address, path):
        status = probe_status(address, path or "/", PROBE_SECONDS)
        sound = status is not None and status < UNSOUND_FROM
        self.runner.inbox.put(HealthCheckFinished(origin, sound))


class RegistryDaemon:
    """A registry with its server.

    Args:
        place: the checked settings (a `ProcessSettings`).
        logs: where the process logs.
        routes: makes the routes of a `Front`; another entry point may put its own before them.
    """

    def __init__(self, place, logger, routes=Front.routes):
        self.runner = Runner(place.address, logger)
        clock = Clock()
        card = DaemonDescriptor(
            f"{place.name}/registry",
            "registry",
            "core",
            place.name,
            place.zone,
            place.address,
            place.http,
            clock.wall(),
        )
        self.node = RegistryNode(card, place.seeds, clock.wall, Prober(self.runner).probe)
        router = Router(
            routes(Front(self.runner, logger)), logger, lambda: self.node.node_state.is_draining
        )
        self.node.shutdown.spans = place.spans()
        self.node.shutdown.in_flight = lambda: router.in_flight
        self.web = WebServer(place.http, router, CountingHandler)

    def start(self) -> None:
        """Run the node, then the HTTP server."""
        self.runner.start(self.node)
        self.web.start()

    def stop(self) -> None:
        """End as planned (`node/graceful_shutdown.py`); returns when the process may end."""
        self.runner.leave(self.web.server.close)
