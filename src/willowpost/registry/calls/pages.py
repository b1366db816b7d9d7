"""Pages for people and for those who watch: status and health."""

from willowpost.registry.calls.control_api import ControlApi
from willowpost.registry.status import StatusPage
from willowpost.shell.web import Answer, Call, reject


class PageCalls:
    def __init__(self, control_api: ControlApi):
        self.control_api = control_api
        self.page = StatusPage()

    def routes(self):
        return ("GET", "/v1/status", 0, self._status), ("GET", "/v1/health", 0, self._health)

    def _status(self, call: Call) -> Answer:
        return Answer(
            200, self.page.make(self.control_api.runner.node, self.control_api.runner.clock.now())
        )

    def _health(self, call: Call) -> Answer:
        node_state = self.control_api.node_state
        sound = node_state.leased(self.control_api.runner.clock.now()) and not node_state.draining
        return (
            Answer(200, {"sound": True})
            if sound
            else reject(
                503, "draining" if node_state.draining else "no fresh state updates from the core"
            )
        )
