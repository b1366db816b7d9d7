"""Calls for people and monitoring: status and health."""

from willowpost.registry.calls.control_api import ControlApi
from willowpost.registry.status import StatusPage
from willowpost.shell.web import Answer, Call, reject


class PageCalls:
    """Calls that are answered at once from the tables held here, fresh or not.

    The status names their age.
    """

    def __init__(self, control_api: ControlApi):
        self.control_api = control_api
        self.page = StatusPage()

    def routes(self):
        """Return the routes: (method, path, most bytes of a body, handler)."""
        return ("GET", "/v1/status", 0, self._status), ("GET", "/v1/health", 0, self._health)

    def _status(self, call: Call) -> Answer:
        node, now = self.control_api.runner.node, self.control_api.now()
        in_touch = self.control_api.is_in_touch()
        return Answer(200, {**self.page.make(node, now), "in_touch": in_touch})

    def _health(self, call: Call) -> Answer:
        node_state = self.control_api.node_state
        if node_state.is_draining:
            return reject(503, "draining")
        if not node_state.may_serve(self.control_api.now()):
            return reject(503, "no fresh state updates from the core")
        return Answer(200, {"sound": True})
