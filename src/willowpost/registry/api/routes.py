"""The routes of the control API, for origins and operators."""

from willowpost.registry.api.configurations import ConfigurationRoutes
from willowpost.registry.api.log_client import LogClient, NodeRunner
from willowpost.registry.api.monitoring import MonitoringRoutes
from willowpost.registry.api.origins import OriginRoutes
from willowpost.registry.api.purges import PurgeRoutes
from willowpost.registry.api.route import Route
from willowpost.registry.api.zones import ZoneRoutes


class ControlApiRoutes:
    """Joins the groups of routes; each is a class, and all share one `LogClient`.

    Attributes:
        log_client: That all groups share.
    """

    def __init__(self, runner: NodeRunner) -> None:
        self.log_client = log_client = LogClient(runner)
        self.groups = (
            OriginRoutes(log_client),
            ConfigurationRoutes(log_client),
            PurgeRoutes(log_client),
            ZoneRoutes(log_client),
            MonitoringRoutes(log_client),
        )

    def routes(self) -> tuple[Route, ...]:
        """Return all routes."""
        return tuple(route for group in self.groups for route in group.routes())
