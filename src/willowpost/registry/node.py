"""One registry: a follower of the log that serves the control API."""

from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.graceful_shutdown import GracefulShutdown
from willowpost.node.join import FleetJoin
from willowpost.node.node_state import NodeState
from willowpost.node.quorum_read import QuorumRead
from willowpost.registry.origin_health import OriginHealthMonitor
from willowpost.state.entries import DaemonDescriptor


class RegistryNode:
    """A registry without input or output; its state changes only in step()."""

    def __init__(self, card: DaemonDescriptor, seeds, wall, probe):
        self.node_state = NodeState(card)
        self.command_client = CommandClient(
            card.id, card.incarnation, self.node_state.store_addresses, wall
        )

        def tables():
            return self.node_state.tables

        self.fleet_join = FleetJoin(card, tables, self.command_client)
        self.shutdown = GracefulShutdown(self.node_state, self.command_client, self.fleet_join)
        follower = Follower(self.node_state, seeds, tree=False)
        self.controllers = [
            follower,
            QuorumRead(self.node_state, follower),
            self.command_client,
            FailureDetector(card, tables, self.command_client),
            self.fleet_join,
            self.shutdown,
            OriginHealthMonitor(self.node_state, self.command_client, probe),
        ]

    def step(self, event, now: int) -> Plan:
        """Pass one event at `now` (µs, own clock) to every controller; returns their joint plan."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan
