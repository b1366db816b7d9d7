"""The outside calls: origins and operators."""

from willowpost.registry.calls.configurations import ConfigurationCalls
from willowpost.registry.calls.control_api import ControlApi
from willowpost.registry.calls.orders import OrderCalls
from willowpost.registry.calls.origins import OriginCalls
from willowpost.registry.calls.pages import PageCalls


class Front:
    """Invariant: the calls of each duty stand in a class of their own.

    And all of them ask the log through one desk.
    """

    def __init__(self, runner, logs):
        self.runner = runner
        self.logs = logs
        control_api = ControlApi(runner)
        self.calls = (
            OriginCalls(control_api),
            ConfigurationCalls(control_api),
            OrderCalls(control_api),
            PageCalls(control_api),
        )

    def routes(self):
        return tuple(route for calls in self.calls for route in calls.routes())
