"""Keeps this daemon's entry in the log's table of daemons."""

from collections.abc import Callable
from typing import Any

from willowpost.common.clock import SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import JoinDaemon
from willowpost.state.tables import Tables

JOIN_INTERVAL_US = 1 * SECOND


class FleetJoin:
    """Joins the log, under one incarnation until the process ends.

    Whether the daemon is lost is decided by the log alone. Nothing is sent once `is_leaving` is
    set.

    Args:
        descriptor: of this daemon.
        tables: returns the tables.
        command_client: submits the operation.
    """

    def __init__(
        self,
        descriptor: DaemonDescriptor,
        tables: Callable[[], Tables],
        command_client: CommandClient,
    ) -> None:
        self.descriptor = descriptor
        self.tables = tables
        self.command_client = command_client
        self.last_attempt_at = -JOIN_INTERVAL_US
        self.is_leaving = False

    def step(self, event: Any, now: int) -> Plan:
        """On a tick, at most once per JOIN_INTERVAL_US: join if the tables call for it.

        That is if the fleet is bootstrapped, and the tables lack this incarnation or have it as
        lost though nobody suspects it any more.
        """
        if not isinstance(event, Tick) or self.is_leaving:
            return Plan()
        if now - self.last_attempt_at < JOIN_INTERVAL_US or not self._must_join(self.tables()):
            return Plan()
        self.last_attempt_at = now
        operation = JoinDaemon(self.descriptor)
        return self.command_client.step(SubmitOperations(None, (operation,)), now)

    def _must_join(self, tables: Tables) -> bool:
        if not tables.epoch:
            return False
        entry = tables.daemons.get(self.descriptor.id)
        if entry is None or entry.incarnation != self.descriptor.incarnation:
            return True
        return entry.state is DaemonState.LOST and self.descriptor.id not in tables.suspicions
