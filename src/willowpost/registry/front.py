"""The control API as a whole, for origins and operators."""

from willowpost.registry.calls.configurations import ConfigurationCalls
from willowpost.registry.calls.control_api import ControlApi
from willowpost.registry.calls.orders import OrderCalls
from willowpost.registry.calls.origins import OriginCalls
from willowpost.registry.calls.pages import PageCalls


class Front:
    """Joins the groups of calls; each is a class, and all share one `ControlApi`."""

    def __init__(self, runner, logger):
        self.runner = runner
        self.logger = logger
        control_api = ControlApi(runner)
        self.calls = (
            OriginCalls(control_api),
            ConfigurationCalls(control_api),
            OrderCalls(control_api),
            PageCalls(control_api),
        )

    def routes(self):
        """Return all routes: (method, path, most bytes of a body, handler)."""
        return tuple(route for calls in self.calls for route in calls.routes())
