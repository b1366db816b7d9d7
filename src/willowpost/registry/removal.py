"""Whether a machine of the core may be removed, for the status page and for automation."""

from dataclasses import asdict, dataclass

from willowpost.state.apply.voters import is_change_complete
from willowpost.state.lifecycle import DaemonState
from willowpost.state.tables import Tables


@dataclass(frozen=True, slots=True)
class RemovalVerdict:
    """Whether a removal is safe, and the reasons against it; safe only without any."""

    safe: bool
    reasons: tuple[str, ...] = ()

    def as_json(self) -> dict:
        """Return the verdict as the status page shows it."""
        return asdict(self)


def safe_to_remove(tables: Tables, fresh: bool) -> RemovalVerdict:
    """Return whether any one voter may be removed for good.

    It may if everything accepted is then still on n - f other voters. The tables do not show a
    voter that is up but behind; the leaving store itself waits for those.

    Args:
        tables: as this daemon holds them.
        fresh: whether everything accepted up to a lease ago is in these tables.
    """
    reasons = tuple(_reasons(tables, fresh))
    return RemovalVerdict(not reasons, reasons)


def _reasons(tables, fresh):
    if not fresh:
        yield "this registry is out of touch with the core"
    if not tables.voters:
        yield "the fleet is not founded"
    if not is_change_complete(tables):
        yield "the last change of the voters is not finished"
    for voter in tables.voters:
        daemon = tables.daemons.get(voter.identity)
        state = "not joined" if daemon is None else daemon.state
        if state != DaemonState.UP:
            yield f"voter {voter.name} is {state}"
