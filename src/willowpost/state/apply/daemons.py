"""Operations on daemons: they join, drain and leave, and are suspected by their watchers."""

from collections.abc import Collection
from dataclasses import fields, replace

from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import DaemonDescriptor, DaemonEntry, FailureVerdict
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import DrainDaemon, JoinDaemon, RemoveDaemon, ReportSuspicion
from willowpost.state.results import Accepted, Reason, StateAccepted
from willowpost.state.tables import MAX_FAILURE_VERDICTS, Tables

SUSPICIONS_NEEDED = 2
DESCRIPTOR_ATTRIBUTES = tuple(field.name for field in fields(DaemonDescriptor))


def join(tables: Tables, operation: JoinDaemon) -> Transition:
    """Add a daemon, or a new incarnation of it, as up.

    It replaces another daemon at its address and repairs the failure verdicts on its machine and
    kind. For an incarnation that is known already, see `_up_again`.
    """
    joining = operation.daemon
    known = tables.daemons.get(joining.id)
    if known is not None and known.incarnation == joining.incarnation:
        return Transition(_up_again(tables, known), Accepted())
    others = {
        name: other
        for name, other in tables.daemons.items()
        if other.address != joining.address or name == joining.id
    }
    replaced = tables.daemons.keys() - others.keys()
    return Transition(
        replace(
            tables,
            daemons={**others, joining.id: _entry_of(joining, tables.slot)},
            suspicions=without_daemons(tables.suspicions, {joining.id, *replaced}),
            failure_verdicts=_repaired(tables, joining),
        ),
        Accepted(),
    )


def _entry_of(daemon: DaemonDescriptor, slot: int) -> DaemonEntry:
    description = {name: getattr(daemon, name) for name in DESCRIPTOR_ATTRIBUTES}
    return DaemonEntry(**description, state=DaemonState.UP, since_slot=slot)


def _up_again(tables: Tables, daemon: DaemonEntry) -> Tables:
    """Return the tables with a lost daemon up again, if nobody suspects it any more.

    The daemons that suspected it may have ended, so its own report is enough then.
    """
    if daemon.state is not DaemonState.LOST or daemon.id in tables.suspicions:
        return tables
    return replace(
        with_daemon(tables, replace(daemon, state=DaemonState.UP)),
        failure_verdicts=_repaired(tables, daemon),
    )


def with_daemon(tables: Tables, daemon: DaemonEntry) -> Tables:
    """Return the tables with this entry, which replaces the daemon's previous one."""
    return replace(tables, daemons={**tables.daemons, daemon.id: daemon})


def remove(tables: Tables, operation: RemoveDaemon) -> Transition:
    """Remove a daemon, the suspicions of it and those it reported; always accepted."""
    remaining = {
        name: daemon
        for name, daemon in tables.daemons.items()
        if name != operation.daemon_id or daemon.incarnation != operation.incarnation
    }
    removed = tables.daemons.keys() - remaining.keys()
    suspicions = without_daemons(tables.suspicions, removed)
    return Transition(replace(tables, daemons=remaining, suspicions=suspicions), Accepted())


def drain(tables: Tables, operation: DrainDaemon) -> Transition:
    """Mark a daemon as draining."""
    daemon = tables.daemons.get(operation.daemon_id)
    if daemon is None or daemon.incarnation != operation.incarnation:
        return rejected(tables, Reason.UNKNOWN_DAEMON)
    draining = replace(daemon, state=DaemonState.DRAINING)
    return Transition(with_daemon(tables, draining), Accepted())


def report_suspicion(tables: Tables, operation: ReportSuspicion) -> Transition:
    """Record that a watcher suspects a daemon, or no longer does.

    A daemon turns lost when two others (or all others, if fewer) suspect this incarnation, and up
    again when none does. A lost watcher's new suspicions are rejected: behind a network partition
    it misses everybody on the other side, and its reports may arrive long afterwards.
    """
    target = tables.daemons.get(operation.target)
    watcher = tables.daemons.get(operation.watcher)
    if (
        target is None
        or target.incarnation != operation.incarnation
        or watcher is None
        or operation.watcher == operation.target
    ):
        return rejected(tables, Reason.UNKNOWN_DAEMON)
    if operation.is_suspected and watcher.state is DaemonState.LOST:
        return rejected(tables, Reason.WATCHER_LOST)
    suspecting = _suspecting(tables, operation)
    state = _state_under_suspicion(tables, target, suspecting)
    after = replace(
        with_daemon(tables, replace(target, state=state)),
        suspicions=_with_suspecting(tables, operation.target, suspecting),
        failure_verdicts=_verdicts_after(tables, target, state),
    )
    return Transition(after, StateAccepted(state))


def _suspecting(tables: Tables, operation: ReportSuspicion) -> frozenset[str]:
    """Return the ids of the daemons that suspect the target after the report."""
    before = tables.suspicions.get(operation.target, frozenset())
    if operation.is_suspected:
        return before | {operation.watcher}
    return before - {operation.watcher}


def _state_under_suspicion(
    tables: Tables, target: DaemonEntry, suspecting: frozenset[str]
) -> DaemonState:
    needed = min(SUSPICIONS_NEEDED, len(tables.daemons) - 1)
    if len(suspecting) >= needed:
        return DaemonState.LOST
    if target.state is DaemonState.LOST and not suspecting:
        return DaemonState.UP
    return target.state


def _with_suspecting(
    tables: Tables, target: str, suspecting: frozenset[str]
) -> dict[str, frozenset[str]]:
    others = {name: known for name, known in tables.suspicions.items() if name != target}
    return {**others, target: suspecting} if suspecting else others


def _verdicts_after(
    tables: Tables, target: DaemonEntry, state: DaemonState
) -> tuple[FailureVerdict, ...]:
    was_lost = target.state is DaemonState.LOST
    if state is DaemonState.LOST and not was_lost:
        verdict = FailureVerdict(tables.slot, target.id, target.name, target.kind, target.zone)
        return (*tables.failure_verdicts, verdict)[-MAX_FAILURE_VERDICTS:]
    if was_lost and state is DaemonState.UP:
        return _repaired(tables, target)
    return tables.failure_verdicts


def _repaired(tables: Tables, daemon: DaemonDescriptor) -> tuple[FailureVerdict, ...]:
    """Return the verdicts, repaired where they stand on a machine's daemon of this kind."""
    return tuple(
        replace(verdict, repaired_slot=tables.slot)
        if (verdict.name, verdict.kind, verdict.repaired_slot) == (daemon.name, daemon.kind, None)
        else verdict
        for verdict in tables.failure_verdicts
    )


def without_daemons(
    suspicions: dict[str, frozenset[str]], removed: Collection[str]
) -> dict[str, frozenset[str]]:
    """Return the suspicions without those by or of the removed daemons."""
    remaining = {
        target: suspecting.difference(removed)
        for target, suspecting in suspicions.items()
        if target not in removed
    }
    return {target: suspecting for target, suspecting in remaining.items() if suspecting}
