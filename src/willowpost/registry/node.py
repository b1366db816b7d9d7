"""One registry: a follower of the log that serves the control API."""

from collections.abc import Callable

from willowpost.common.controller import Controller
from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.graceful_shutdown import GracefulShutdown
from willowpost.node.join import FleetJoin
from willowpost.node.node_state import NodeState
from willowpost.node.quorum_read import QuorumRead
from willowpost.node.tables_check import TablesCheck
from willowpost.registry.arrival_positions import ArrivalPositions
from willowpost.registry.configuration_log import ConfigurationLog
from willowpost.registry.origin_health import OriginHealthMonitor, StartHealthCheck
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.tables import Tables


class RegistryNode:
    """A registry without input or output; its state changes only in step().

    Args:
        descriptor: the daemon.
        seeds: addresses of stores to begin with.
        wall_clock: returns the wall clock's time in µs.
        start_health_check: see `OriginHealthMonitor`.
    """

    def __init__(
        self,
        descriptor: DaemonDescriptor,
        seeds: tuple[str, ...],
        wall_clock: Callable[[], int],
        start_health_check: StartHealthCheck,
    ) -> None:
        self.node_state = NodeState(descriptor)
        self.command_client = CommandClient(
            descriptor.id, descriptor.incarnation, self.node_state.store_addresses, wall_clock
        )
        self.fleet_join = FleetJoin(descriptor, self._tables, self.command_client)
        self.shutdown = GracefulShutdown(self.node_state, self.command_client, self.fleet_join)
        self.arrival_positions = ArrivalPositions(self.node_state)
        self.tables_check = TablesCheck(self._tables)
        follower = Follower(self.node_state, seeds, may_poll_proxies=False)
        self.controllers: list[Controller] = [
            follower,
            QuorumRead(self.node_state, follower),
            self.command_client,
            FailureDetector(descriptor, self._tables, self.command_client),
            self.fleet_join,
            self.shutdown,
            OriginHealthMonitor(self.node_state, self.command_client, start_health_check),
            self.arrival_positions,
            ConfigurationLog(self.node_state),
            self.tables_check,
        ]

    def step(self, event: object, now: int) -> Plan:
        """Pass one event at `now` (µs, own clock) to every controller; returns their joint plan."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan

    def _tables(self) -> Tables:
        return self.node_state.tables
