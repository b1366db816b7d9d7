"""Registers incarnations of origins; an ended incarnation does not return."""

from dataclasses import replace

from willowpost.state.apply.origins import origin_with_token, with_ended
from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import AddressBinding, OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import RegisterOrigin
from willowpost.state.results import OriginAccepted, Reason
from willowpost.state.tables import MAX_ADDRESS_BINDINGS, Tables

NAMED_SERVICE = "named"  # key of a service in the configuration


def register(tables: Tables, operation: RegisterOrigin, index: int) -> Transition:
    """Register an incarnation of an origin.

    An address that last served another service waits until the log lets it enter, unless the
    service is `named` (its origins check the incarnation named on a request). An incarnation with a
    token registers once, however often it tries. A registration with a `known_slot` changes nothing
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
    if _is_superseded(tables, operation):
        return rejected(tables, Reason.SUPERSEDED)
    name = f"{operation.address}@{tables.slot}.{index}"
    origin = _entry_of(tables, operation)
    ended = _at_address(tables, operation.address).keys() - {known}
    remaining = {
        other: entry
        for other, entry in tables.origins.items()
        if other not in ended and other != known
    }
    after = replace(
        tables,
        origins={**remaining, name: origin},
        address_bindings=_with_binding(tables, operation),
    )
    # in the order of the table, so that the ended tokens are in one order at every daemon
    ended_tokens = [entry.token for other, entry in tables.origins.items() if other in ended]
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


def _is_superseded(tables: Tables, operation: RegisterOrigin) -> bool:
    if operation.known_slot is None:
        return False
    binding = tables.address_bindings.get(operation.address)
    last_changed = -1 if binding is None or binding.slot is None else binding.slot
    return last_changed >= operation.known_slot


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


def _with_binding(tables: Tables, operation: RegisterOrigin) -> dict[str, AddressBinding]:
    """Return the bindings with this address; beyond the limit without the oldest one.

    The oldest by slot, not by the order in the table, which differs after a snapshot.
    """
    binding = AddressBinding(operation.service, tables.slot)
    bindings = {**tables.address_bindings, operation.address: binding}
    if len(bindings) > MAX_ADDRESS_BINDINGS:
        del bindings[min(bindings, key=lambda address: (bindings[address].slot or 0, address))]
    return bindings
