"""Health checks of origins over HTTP, in the background."""

import gevent

from willowpost.registry.origin_health import HealthCheckFinished
from willowpost.shell.health_check import fetch_health
from willowpost.shell.runner import Runner

TIMEOUT_SECONDS = 1.0
DEFAULT_PATH = "/"
FIRST_UNHEALTHY_STATUS = 500  # from here on an origin counts as unhealthy


class HealthChecker:
    """Checks origins whose heartbeats are missing; the outcome goes to the node as an event.

    Args:
        runner: runs the node.
        token_header: name, in lower case, of the response header with the incarnation's token.
    """

    def __init__(self, runner: Runner, token_header: str) -> None:
        self.runner = runner
        self.token_header = token_header

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
        health = fetch_health(address, path or DEFAULT_PATH, TIMEOUT_SECONDS)
        if health is None:
            finished = HealthCheckFinished(origin, is_healthy=False)
        else:
            is_healthy = health.status < FIRST_UNHEALTHY_STATUS
            token = health.headers.get(self.token_header)
            finished = HealthCheckFinished(origin, is_healthy, token)
        self.runner.inbox.put(finished)
