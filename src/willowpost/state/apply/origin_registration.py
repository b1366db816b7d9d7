"""Registers incarnations of origins; an ended incarnation does not return.

Heartbeats may come seconds late, so the log orders the incarnations at an address by when each was
first seen there: one that was seen before the incarnation that stands there has ended, and a late
heartbeat of it changes nothing. Only the first heartbeat of an incarnation that nobody has seen can
come so late that it displaces a running one. That one goes on sending heartbeats, while the other's
health check is answered by another incarnation (`registry/origin_health.py`); once the latter has
timed out, the running one registers again.
"""

from collections.abc import Iterable
from dataclasses import replace

from willowpost.state.apply.origins import origin_with_token, origins_without, with_ended
from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import AddressBinding, OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import RegisterOrigin
from willowpost.state.results import OriginAccepted, Reason
from willowpost.state.tables import MAX_ADDRESS_BINDINGS, MAX_TOKENS_OF_ADDRESS, Tables

NAMED_SERVICE = "named"  # key of a service in the configuration


def register(tables: Tables, operation: RegisterOrigin, index: int) -> Transition:
    """Register an incarnation of an origin.

    An address that last served another service waits until the log lets it enter, unless the
    service is `named` (its origins check the incarnation named on a request). An incarnation with a
    token registers once, however often it tries. It takes no address from one that was first seen
    there later, and none at all while it drains. A registration with a `known_slot` changes nothing
    if the address was registered in that slot or later.

    Args:
        tables: the tables before the operation.
        operation: the registration.
        index: of the operation in its command; makes the origin's name unique.
    """
    if operation.token in tables.ended_tokens:
        return rejected(tables, Reason.INCARNATION_ENDED)
    known = origin_with_token(tables, operation.token)
    if known is not None and _is_repeated(tables.origins[known], operation):
        return _registered_again(tables, known, operation)
    if is_superseded(tables, operation):
        return rejected(tables, Reason.SUPERSEDED)
    displaced = {
        other: entry
        for other, entry in _at_address(tables, operation.address).items()
        if other != known
    }
    if operation.is_ordered and displaced:
        if operation.token and operation.is_draining:
            ended = with_ended(
                replace(tables, origins=origins_without(tables, known)), [operation.token]
            )
            return Transition(ended, OriginAccepted(None, OriginState.GONE))
        if _has_successor(tables, operation, displaced.values()):
            return rejected(tables, Reason.INCARNATION_SUCCEEDED)
    name = f"{operation.address}@{tables.slot}.{index}"
    origin = _entry_of(tables, operation)
    remaining = {
        other: entry
        for other, entry in tables.origins.items()
        if other not in displaced and other != known
    }
    after = replace(
        tables,
        origins={**remaining, name: origin},
        address_bindings=_with_binding(tables, operation, displaced.values()),
    )
    # What drains never returns; the others may, should the one that displaced them time out. They
    # are in the order of the table, so that the ended tokens are in one order at every daemon.
    ended_tokens = [
        entry.token
        for entry in displaced.values()
        if entry.state is OriginState.DRAINING or not operation.is_ordered
    ]
    return Transition(with_ended(after, ended_tokens), OriginAccepted(name, origin.state))


def _is_repeated(origin: OriginEntry, operation: RegisterOrigin) -> bool:
    return (origin.address, origin.service) == (operation.address, operation.service)


def _registered_again(tables: Tables, name: str, operation: RegisterOrigin) -> Transition:
    """Handle a repeated registration: only a change to draining takes effect."""
    origin = tables.origins[name]
    if operation.is_draining and origin.state is not OriginState.DRAINING:
        origin = replace(origin, state=OriginState.DRAINING)
        tables = replace(tables, origins={**tables.origins, name: origin})
    return Transition(tables, OriginAccepted(name, origin.state))


def is_superseded(tables: Tables, operation: RegisterOrigin) -> bool:
    """Whether a newer registration of another incarnation at the address bars this one."""
    binding = tables.address_bindings.get(operation.address)
    if operation.known_slot is None or binding is None or binding.slot is None:
        return False
    if operation.token and binding.tokens[-1:] == (operation.token,):
        return False
    return binding.slot >= operation.known_slot


def _has_successor(
    tables: Tables, operation: RegisterOrigin, others: Iterable[OriginEntry]
) -> bool:
    binding = tables.address_bindings.get(operation.address)
    return binding is not None and any(
        binding.is_succeeded(operation.token, other.token) for other in others
    )


def _at_address(tables: Tables, address: str) -> dict[str, OriginEntry]:
    return {name: entry for name, entry in tables.origins.items() if entry.address == address}


def _entry_of(tables: Tables, operation: RegisterOrigin) -> OriginEntry:
    return OriginEntry(
        service=operation.service,
        address=operation.address,
        zone=operation.zone,
        rate=operation.rate,
        slow_start_rate=operation.slow_start_rate,
        slot=tables.slot,
        state=_initial_state(operation, _must_wait(tables, operation)),
        token=operation.token or None,
        slots=operation.slots or 0,
        heartbeat_number=operation.heartbeat_number or 0,
        reports_warm_up=operation.is_warming_up is not None,
    )


def _must_wait(tables: Tables, operation: RegisterOrigin) -> bool:
    """Whether proxies may still take the address for one of another service."""
    service = tables.configuration.services.get(operation.service, {})
    if service.get(NAMED_SERVICE):
        return False
    binding = tables.address_bindings.get(operation.address)
    if binding is not None and binding.service != operation.service:
        return True
    return any(
        entry.state is OriginState.WAITING
        for entry in _at_address(tables, operation.address).values()
    )


def _initial_state(operation: RegisterOrigin, must_wait: bool) -> OriginState:
    if operation.is_draining:
        return OriginState.DRAINING
    if must_wait:
        return OriginState.WAITING
    return OriginState.WARM if operation.is_warming_up is False else OriginState.WARMING_UP


def _with_binding(
    tables: Tables, operation: RegisterOrigin, displaced: Iterable[OriginEntry]
) -> dict[str, AddressBinding]:
    """Return the bindings with this address; beyond the limit without the oldest one.

    The oldest by slot, not by the order in the table, which differs after a snapshot.
    """
    binding = AddressBinding(operation.service, tables.slot, _tokens(tables, operation, displaced))
    bindings = {**tables.address_bindings, operation.address: binding}
    if len(bindings) > MAX_ADDRESS_BINDINGS:
        del bindings[min(bindings, key=lambda address: (bindings[address].slot or 0, address))]
    return bindings


def _tokens(
    tables: Tables, operation: RegisterOrigin, displaced: Iterable[OriginEntry]
) -> tuple[str, ...]:
    """Return the last incarnations at the address, with this one; each keeps its place."""
    binding = tables.address_bindings.get(operation.address)
    tokens = () if binding is None else binding.tokens
    if not operation.is_ordered:
        return tokens
    for token in (*(entry.token for entry in displaced), operation.token):
        if token and token not in tokens:
            tokens = (*tokens, token)
    return tokens[-MAX_TOKENS_OF_ADDRESS:]
