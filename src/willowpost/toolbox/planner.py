"""Previews what a configuration or the evacuation of a zone would change. Changes nothing."""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from willowpost.configuration.routes import Route, routes_of
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.state.apply import apply_operation
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import EvacuateZone
from willowpost.state.tables import Tables


def _routes_by_name(tree: dict[str, Any] | None) -> dict[str, Route]:
    return {route.name: route for route in routes_of(tree)} if tree else {}


def _changed_fields(before: Route, after: Route) -> dict[str, list[Any]]:
    """[before, after] of each field that differs; an absent kind is null, an empty split []."""
    old, new = asdict(before), asdict(after)
    return {name: [old[name], new[name]] for name in new if old[name] != new[name]}


def _added_and_removed(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "added": sorted(after.keys() - before.keys()),
        "removed": sorted(before.keys() - after.keys()),
    }


def _changed_names(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    return [name for name in sorted(after.keys() & before.keys()) if after[name] != before[name]]


class ConfigurationPlanner:
    """Works out a configuration's effect from the tables and the checked tree alone."""

    def plan(self, tables: Tables, tree: dict[str, Any]) -> dict[str, Any]:
        """Routes and services that would be added, removed and changed, with warnings.

        Args:
            tables: The replicated tables in force.
            tree: The checked tree of the new configuration.

        Returns:
            The body of the /v1 plan call.
        """
        routes_before, routes_after = (
            _routes_by_name(tables.configuration.tree),
            _routes_by_name(tree),
        )
        services_before = tables.configuration.services
        services_after = tree.get("services", {})
        return {
            "version": tables.configuration.version,
            "routes": {
                **_added_and_removed(routes_before, routes_after),
                "changed": {
                    name: _changed_fields(routes_before[name], routes_after[name])
                    for name in _changed_names(routes_before, routes_after)
                },
            },
            "services": {
                **_added_and_removed(services_before, services_after),
                "changed": {
                    name: [services_before[name], services_after[name]]
                    for name in _changed_names(services_before, services_after)
                },
            },
            "warnings": list(self._warnings(tables, routes_after)),
        }

    def _warnings(self, tables: Tables, routes: dict[str, Route]) -> Iterator[str]:
        routed = {service for route in routes.values() for service in route.services}
        in_force = {origin.service for origin in tables.origins.values() if origin.is_in_force}
        for name in sorted(routed - in_force):
            yield f"service {name} has no origin in force"
        for name in sorted(in_force - routed):
            yield f"origins of service {name} would have no route"


@dataclass(frozen=True, slots=True)
class _ServiceCapacity:
    """A service's origins and their rates (requests/s), before and after an evacuation.

    Attributes:
        configured_rate: The service's rate limit; None if its configuration sets none.
    """

    origins_before: int
    origins_after: int
    rate_before: float
    rate_after: float
    configured_rate: float | None

    def to_json(self) -> dict[str, Any]:
        """The service's entry in the /v1 plan of a zone."""
        return {
            "origins": [self.origins_before, self.origins_after],
            "rate": [self.rate_before, self.rate_after],
            "allowance": self.configured_rate,
        }


class ZonePlanner:
    """Works out an evacuation's effect with the code that makes a proxy's routing snapshot."""

    def plan(self, tables: Tables, zone: str) -> dict[str, Any]:
        """What would remain of each service, with warnings.

        Args:
            tables: The replicated tables in force.
            zone: The zone to evacuate.

        Returns:
            The body of the /v1 plan call.
        """
        evacuated = apply_operation(tables, EvacuateZone(zone, is_evacuated=True)).tables
        before, after = SnapshotMaker().make(tables), SnapshotMaker().make(evacuated)
        services = {
            name: _ServiceCapacity(
                origins_before=len(service.origins),
                origins_after=len(after.services[name].origins),
                rate_before=sum(origin.rate for origin in service.origins),
                rate_after=sum(origin.rate for origin in after.services[name].origins),
                configured_rate=service.rate if _has_rate(tables, name) else None,
            )
            for name, service in before.services.items()
        }
        edges = [
            daemon
            for daemon in tables.daemons.values()
            if daemon.kind == "proxy" and daemon.role == "edge" and daemon.state is DaemonState.UP
        ]
        warnings = [*_origin_warnings(services), *_rate_warnings(services)]
        if before.shields and not after.shields:
            warnings.append("no shield would be left")
        return {
            "zone": zone,
            "services": {name: capacity.to_json() for name, capacity in services.items()},
            "shields": [len(before.shields), len(after.shields)],
            "edges": [len(edges), sum(edge.zone != zone for edge in edges)],
            "voters there, which stay": sum(voter.zone == zone for voter in tables.voters),
            "warnings": warnings,
        }


def _has_rate(tables: Tables, service: str) -> bool:
    return tables.configuration.services.get(service, {}).get("rate") is not None


def _origin_warnings(services: dict[str, _ServiceCapacity]) -> Iterator[str]:
    for name, capacity in services.items():
        if capacity.origins_before and not capacity.origins_after:
            yield f"service {name} would have no origin in force"


def _rate_warnings(services: dict[str, _ServiceCapacity]) -> Iterator[str]:
    for name, capacity in services.items():
        configured_rate = capacity.configured_rate
        if configured_rate is not None and 0 < capacity.rate_after < configured_rate:
            yield (
                f"service {name}: what is left bears {capacity.rate_after:.0f} "
                f"of an allowance of {configured_rate:.0f}"
            )
