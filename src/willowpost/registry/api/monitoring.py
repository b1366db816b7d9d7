"""Calls for operators and monitoring: status and health."""

from willowpost.registry.api.log_client import LogClient
from willowpost.registry.api.route import Route
from willowpost.registry.status import StatusPage
from willowpost.shell.web import Answer, Call, reject


class MonitoringRoutes:
    """Calls that are answered at once from the tables here, fresh or not.

    The status names their age.
    """

    def __init__(self, log_client: LogClient) -> None:
        self.log_client = log_client
        self.page = StatusPage()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this group."""
        return (
            Route("GET", "/v1/status", 0, self._show_status),
            Route("GET", "/v1/health", 0, self._show_health),
        )

    def _show_status(self, call: Call) -> Answer:
        node, now = self.log_client.runner.node, self.log_client.now()
        is_in_touch = self.log_client.is_in_touch()
        return Answer(200, {**self.page.make(node, now), "in_touch": is_in_touch})

    def _show_health(self, call: Call) -> Answer:
        node_state = self.log_client.node_state
        if node_state.is_draining:
            return reject(503, "draining")
        if not node_state.may_serve(self.log_client.now()):
            return reject(503, "no fresh state updates from the core")
        return Answer(200, {"sound": True})
