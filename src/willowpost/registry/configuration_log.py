"""Logs each configuration that a registry learns of; its acknowledgement follows at once."""

from willowpost.common.plan import Plan
from willowpost.node.node_state import NodeState


class ConfigurationLog:
    """Logs versions as the registry's tables get them.

    With the proxies' lines of versions in force it shows how long a change takes. The tables that
    come as a snapshot may skip versions.

    Args:
        node_state: The registry's shared state.
    """

    def __init__(self, node_state: NodeState) -> None:
        self._node_state = node_state
        self._version = 0

    def step(self, event: object, now: int) -> Plan:
        """Log the version if it has changed; `now` is in µs."""
        plan, tables = Plan(), self._node_state.tables
        if tables.configuration.version != self._version:
            self._version = tables.configuration.version
            plan.log("configuration", "known", version=self._version, slot=tables.slot)
        return plan
