"""Zones that operators evacuate and restore."""

from dataclasses import replace

from willowpost.state.apply.origins import warming_up_again
from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import EvacuationScope, OriginEntry, ZoneEvacuation
from willowpost.state.operations import EvacuateZone
from willowpost.state.results import Accepted, Reason
from willowpost.state.tables import Tables


def evacuate(tables: Tables, operation: EvacuateZone) -> Transition:
    """Evacuate a zone, or restore it.

    Daemons in a zone that is evacuated with scope ALL reject requests, too. Once restored, origins
    of services with a slow start warm up from this slot on, since their state is unknown.

    An operation with a `known_slot` changes nothing if the zone changed in that slot or later: an
    order delayed by a network partition does not undo a newer one.
    """
    before = tables.zone_evacuations.get(operation.zone)
    scope = _scope(operation, before)
    if is_superseded(tables, operation):
        return rejected(tables, Reason.SUPERSEDED)
    if _has_changed_since(before, operation.known_slot):
        return Transition(tables, Accepted())
    order = ZoneEvacuation(operation.is_evacuated, tables.slot, scope)
    after = replace(tables, zone_evacuations={**tables.zone_evacuations, operation.zone: order})
    was_evacuated = before is not None and before.is_evacuated
    if was_evacuated and not operation.is_evacuated and scope == EvacuationScope.ORIGINS:
        after = replace(after, origins=_warming_up(tables, operation.zone))
    return Transition(after, Accepted())


def is_superseded(tables: Tables, operation: EvacuateZone) -> bool:
    """Whether a newer order about the zone, with another effect, bars this one."""
    before = tables.zone_evacuations.get(operation.zone)
    if before is None or not _has_changed_since(before, operation.known_slot):
        return False
    ordered = (operation.is_evacuated, _scope(operation, before))
    return (before.is_evacuated, before.scope) != ordered


def _has_changed_since(before: ZoneEvacuation | None, known_slot: int | None) -> bool:
    return before is not None and known_slot is not None and before.slot >= known_slot


def _scope(operation: EvacuateZone, before: ZoneEvacuation | None) -> str:
    """Return the scope of an order; restoring a zone keeps that of its evacuation."""
    if operation.is_evacuated:
        return EvacuationScope.ALL if operation.scope is None else operation.scope
    return EvacuationScope.ALL if before is None else before.scope


def _warming_up(tables: Tables, zone: str) -> dict[str, OriginEntry]:
    services = tables.configuration.services
    return {
        name: warming_up_again(origin, tables.slot)
        if origin.zone == zone
        and origin.is_in_force
        and services.get(origin.service, {}).get("cold_rate") is not None
        else origin
        for name, origin in tables.origins.items()
    }
