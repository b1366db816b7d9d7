"""Applies one decision of the log to the tables; pure, with equal results at every daemon."""

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from willowpost.common.gc_pause import paused_gc
from willowpost.state import operations
from willowpost.state.apply import (
    configurations,
    daemons,
    evacuations,
    origin_registration,
    origins,
    ownerships,
    purges,
    voters,
)
from willowpost.state.apply.command_history import is_decided, with_results
from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.codec import UnknownOperationError, decode_operation
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.operations import Operation
from willowpost.state.results import Reason, Result, malformed
from willowpost.state.tables import Tables
from willowpost.wire.messages import Decision

HANDLERS: dict[type, Callable[[Tables, Any], Transition]] = {
    operations.JoinDaemon: daemons.join,
    operations.RemoveDaemon: daemons.remove,
    operations.DrainDaemon: daemons.drain,
    operations.ReportSuspicion: daemons.report_suspicion,
    operations.ReplaceVoter: voters.replace_voter,
    operations.OfferVoter: voters.offer_voter,
    operations.OpenEpoch: voters.open_epoch,
    operations.ChangeOriginState: origins.change_state,
    operations.EndOrigin: origins.end,
    ConfigurationProposal: configurations.propose,
    operations.PurgeCache: purges.purge,
    operations.EvacuateZone: evacuations.evacuate,
    operations.AcquireOwnership: ownerships.acquire,
}


class StateMachine:
    """Applies decisions; a command that was applied before changes nothing but the slot."""

    def apply(self, tables: Tables, decision: Decision) -> Tables:
        """Return the tables after one decision; their slot is `decision.slot + 1`.

        Raises:
            ValueError: the decision is not of slot `tables.slot`.
        """
        if decision.slot != tables.slot:
            raise ValueError(f"slot {decision.slot} applied at {tables.slot}")
        command = decision.command
        if command is None or is_decided(tables, command):
            return replace(tables, slot=tables.slot + 1)
        with paused_gc():
            stored_operations = json.loads(command.body)
        results: list[Result] = []
        for index, stored in enumerate(stored_operations):
            tables, result = _apply_stored(tables, stored, index)
            results.append(result)
        return replace(with_results(tables, command, tuple(results)), slot=tables.slot + 1)


def _apply_stored(tables: Tables, stored: dict[str, Any], index: int) -> Transition:
    """Apply one operation as its command carries it.

    A malformed operation changes nothing, equally at every daemon. If it raised, every process that
    reaches it in the log would end, for ever.
    """
    try:
        return apply_operation(tables, decode_operation(stored), index)
    except UnknownOperationError:
        return rejected(tables, Reason.UNKNOWN_OPERATION)
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        return rejected(tables, malformed(problem))


def apply_operation(tables: Tables, operation: Operation, index: int = 0) -> Transition:
    """Apply one operation.

    Args:
        tables: before the operation.
        operation: to apply.
        index: of the operation in its command.
    """
    if isinstance(operation, operations.RegisterOrigin):
        return origin_registration.register(tables, operation, index)
    return HANDLERS[type(operation)](tables, operation)
