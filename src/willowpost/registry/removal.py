"""Whether a machine of the core may be removed, for the status page and for automation."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from willowpost.state.apply.voters import is_change_complete
from willowpost.state.lifecycle import DaemonState
from willowpost.state.tables import Tables


@dataclass(frozen=True, slots=True)
class RemovalVerdict:
    """Whether a removal is safe, and the reasons against it; safe only without any."""

    is_safe: bool
    reasons: tuple[str, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the verdict as the status page shows it."""
        return {"safe": self.is_safe, "reasons": self.reasons}


def safe_to_remove(tables: Tables, is_fresh: bool) -> RemovalVerdict:
    """Return whether any one voter may be removed for good.

    It may if everything accepted is then still on n - f other voters. The tables do not show a
    voter that is up but behind; the store that shuts down waits for those itself.

    Args:
        tables: as far as this daemon has followed the log.
        is_fresh: whether everything accepted up to a lease ago is in these tables.
    """
    reasons = tuple(_reasons_against(tables, is_fresh))
    return RemovalVerdict(not reasons, reasons)


def _reasons_against(tables: Tables, is_fresh: bool) -> Iterator[str]:
    if not is_fresh:
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
