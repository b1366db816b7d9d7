"""Health checks of origins over HTTP, in the background."""

import gevent

from willowpost.registry.origin_health import HealthCheckFinished
from willowpost.shell.probe import probe_status
from willowpost.shell.runner import Runner

TIMEOUT_SECONDS = 1.0
DEFAULT_PATH = "/"
FIRST_UNHEALTHY_STATUS = 500  # from here on an origin counts as unhealthy


class HealthChecker:
    """Checks origins whose heartbeats are missing; the outcome goes to the node as an event."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner

    def start_check(self, origin: str, address: str, path: str | None) -> None:
        """Check an origin in the background.

        The event is `HealthCheckFinished`: healthy means a status below FIRST_UNHEALTHY_STATUS
        within TIMEOUT_SECONDS.

        Args:
            origin: its name in the tables.
            address: IP:port.
            path: of the health check; None: DEFAULT_PATH.
        """
        gevent.spawn(self._check, origin, address, path)

    def _check(self, origin: str, address: str, path: str | None) -> None:
        status = probe_status(address, path or DEFAULT_PATH, TIMEOUT_SECONDS)
        is_healthy = status is not None and status < FIRST_UNHEALTHY_STATUS
        self.runner.inbox.put(HealthCheckFinished(origin, is_healthy))
