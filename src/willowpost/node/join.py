"""Keeps this daemon's entry in the log's table of daemons."""

from willowpost.common.clock import SECOND
from willowpost.common.events import SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import JoinDaemon

JOIN_EVERY = 1 * SECOND


class FleetJoin:
    """Joins the log, under one incarnation for the process's whole run.

    Whether the daemon is lost is decided by the log alone. Nothing is sent once `leaving` is set.
    """

    def __init__(self, descriptor, tables, command_client):
        self.descriptor = descriptor
        self.tables = tables
        self.command_client = command_client
        self.asked_at = -JOIN_EVERY
        self.leaving = False

    def step(self, event, now: int) -> Plan:
        """On a tick, at most once per JOIN_EVERY: join if the tables lack this incarnation.

        The fleet must be bootstrapped. It joins again if they hold it as lost though nobody
        suspects it any more.
        """
        if not isinstance(event, Tick) or self.leaving or now - self.asked_at < JOIN_EVERY:
            return Plan()
        tables = self.tables()
        held = tables.daemons.get(self.descriptor.id)
        forgotten = (
            held is not None
            and held.state is DaemonState.LOST
            and self.descriptor.id not in tables.suspicions
        )
        if not tables.epoch or (
            held is not None and held.incarnation == self.descriptor.incarnation and not forgotten
        ):
            return Plan()
        self.asked_at = now
        joining = JoinDaemon(self.descriptor)
        return self.command_client.step(SubmitOperations(None, (joining,)), now)
