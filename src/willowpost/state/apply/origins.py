"""Changes of origins' states; an ended incarnation does not return."""

from collections.abc import Iterable
from dataclasses import replace

from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import OriginEntry
from willowpost.state.lifecycle import ORIGIN_TRANSITIONS, DaemonState, OriginState
from willowpost.state.operations import ChangeOriginState, EndOrigin
from willowpost.state.results import OriginAccepted, Reason, StateAccepted, no_transition
from willowpost.state.tables import MAX_ENDED_TOKENS, Tables


def change_state(tables: Tables, operation: ChangeOriginState) -> Transition:
    """Change the state of an origin.

    A change from a heartbeat changes nothing after one of a later heartbeat. A change with a
    `known_slot` is rejected if the origin began to warm up again in that slot or later. One that
    names its registry counts only if that is up.
    """
    if operation.registry is not None and not _is_up(tables, operation.registry):
        return rejected(tables, Reason.REGISTRY_LOST)
    name = operation.origin
    if name is None:
        name = origin_with_token(tables, operation.token)
    origin = None if name is None else tables.origins.get(name)
    if name is None or origin is None:
        return _change_of_unknown(tables, operation)
    state = OriginState(operation.state)
    number = operation.heartbeat_number
    if number and number <= origin.heartbeat_number:
        return Transition(tables, StateAccepted(origin.state))
    if _warmed_up_again_since(origin, operation.known_slot):
        return rejected(tables, Reason.WARMED_UP_AGAIN)
    if state is origin.state:
        return Transition(tables, StateAccepted(origin.state))
    if state not in ORIGIN_TRANSITIONS[origin.state]:
        return rejected(tables, no_transition(origin.state, state))
    if state is OriginState.GONE:
        return _removed(tables, name, operation)
    changed = _changed(origin, state, operation, tables.slot)
    after = replace(tables, origins={**tables.origins, name: changed})
    return Transition(after, StateAccepted(state))


def _change_of_unknown(tables: Tables, operation: ChangeOriginState) -> Transition:
    if operation.token is not None and operation.token in tables.ended_tokens:
        return Transition(tables, StateAccepted(OriginState.GONE))
    return rejected(tables, Reason.UNKNOWN_ORIGIN)


def _warmed_up_again_since(origin: OriginEntry, known_slot: int | None) -> bool:
    since = -1 if origin.warming_up_since_slot is None else origin.warming_up_since_slot
    return known_slot is not None and known_slot <= since


def _removed(tables: Tables, name: str, operation: ChangeOriginState) -> Transition:
    """Remove an origin; its incarnation ends, unless it only timed out and may return."""
    origin = tables.origins[name]
    after = replace(tables, origins=origins_without(tables, name))
    may_return = operation.timed_out and origin.state is not OriginState.DRAINING
    if not may_return:
        after = with_ended(after, [origin.token])
    return Transition(after, StateAccepted(OriginState.GONE))


def _changed(
    origin: OriginEntry, state: OriginState, operation: ChangeOriginState, slot: int
) -> OriginEntry:
    if state is OriginState.WARMING_UP:
        changed = warming_up_again(origin, slot)
    else:
        changed = replace(origin, state=state)
    return replace(
        changed,
        heartbeat_number=operation.heartbeat_number or origin.heartbeat_number,
        reports_warm_up=operation.reports_warm_up or origin.reports_warm_up,
    )


def end(tables: Tables, operation: EndOrigin) -> Transition:
    """End an incarnation, whether or not it ever registered; its late heartbeats change nothing."""
    name = origin_with_token(tables, operation.token)
    after = tables if name is None else replace(tables, origins=origins_without(tables, name))
    after = with_ended(after, [operation.token])
    return Transition(after, OriginAccepted(name, OriginState.GONE))


def warming_up_again(origin: OriginEntry, slot: int) -> OriginEntry:
    """Return an origin's entry as warming up since `slot`."""
    return replace(origin, state=OriginState.WARMING_UP, warming_up_since_slot=slot)


def origin_with_token(tables: Tables, token: str | None) -> str | None:
    """Return the name of the origin with this token, or None."""
    if not token:
        return None
    return next((name for name, entry in tables.origins.items() if entry.token == token), None)


def with_ended(tables: Tables, tokens: Iterable[str | None]) -> Tables:
    """Return the tables with these incarnations ended; origins without a token leave no trace."""
    ended = [token for token in tokens if token and token not in tables.ended_tokens]
    if not ended:
        return tables
    ended_tokens = (*tables.ended_tokens, *ended)[-MAX_ENDED_TOKENS:]
    return replace(tables, ended_tokens=ended_tokens)


def _is_up(tables: Tables, daemon_id: str) -> bool:
    daemon = tables.daemons.get(daemon_id)
    return daemon is not None and daemon.state is DaemonState.UP


def origins_without(tables: Tables, name: str | None) -> dict[str, OriginEntry]:
    """Return the origins but the one of this name."""
    return {other: entry for other, entry in tables.origins.items() if other != name}
