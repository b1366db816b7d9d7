"""What a new configuration or the evacuation of a zone would change; nothing is submitted."""

from dataclasses import asdict
from typing import Any

from willowpost.configuration.routes import Route, routes_of
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.state.apply import apply_operation
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import EvacuateZone
from willowpost.state.tables import Tables


def _routes(tree: dict[str, Any] | None) -> dict[str, Route]:
    return {route.name: route for route in routes_of(tree)} if tree else {}


def _changed(before: Route, after: Route) -> dict[str, list[Any]]:
    """What differs of a route; an absent kind and an empty split are given as None and ()."""
    old, new = asdict(before), asdict(after)
    return {name: [old[name], new[name]] for name in new if old[name] != new[name]}


class ConfigurationPlanner:
    """Plans a change of the configuration, from the tables and the checked tree alone."""

    def plan(self, tables: Tables, tree: dict[str, Any]) -> dict[str, Any]:
        """Routes and services that would be added, removed and changed, with warnings."""
        before, after = _routes(tables.configuration.tree), _routes(tree)
        services_before = tables.configuration.services
        services_after = tree.get("services", {})
        reached = {service for route in after.values() for service in route.services}
        in_force = {origin.service for origin in tables.origins.values() if origin.is_in_force}
        return {
            "version": tables.configuration.version,
            "routes": {
                "added": sorted(after.keys() - before.keys()),
                "removed": sorted(before.keys() - after.keys()),
                "changed": {
                    name: _changed(before[name], after[name])
                    for name in sorted(after.keys() & before.keys())
                    if after[name] != before[name]
                },
            },
            "services": {
                "added": sorted(services_after.keys() - services_before.keys()),
                "removed": sorted(services_before.keys() - services_after.keys()),
                "changed": {
                    name: [services_before[name], services_after[name]]
                    for name in sorted(services_after.keys() & services_before.keys())
                    if services_after[name] != services_before[name]
                },
            },
            "warnings": [
                f"service {name} has no origin in force" for name in sorted(reached - in_force)
            ]
            + [
                f"origins of service {name} would have no route"
                for name in sorted(in_force - reached)
            ],
        }


class ZonePlanner:
    """Plans the evacuation of a zone, by the same code that makes a proxy's snapshot."""

    def plan(self, tables: Tables, zone: str) -> dict[str, Any]:
        """What would be left of each service, with warnings."""
        evacuated = apply_operation(tables, EvacuateZone(zone, is_evacuated=True)).tables
        before, after = SnapshotMaker().make(tables), SnapshotMaker().make(evacuated)
        allowed = {
            name
            for name, service in tables.configuration.services.items()
            if service.get("rate") is not None
        }
        services: dict[str, dict[str, Any]] = {
            name: {
                "origins": [len(service.origins), len(after.services[name].origins)],
                "rate": [
                    sum(origin.rate for origin in service.origins),
                    sum(origin.rate for origin in after.services[name].origins),
                ],
                "allowance": service.rate if name in allowed else None,
            }
            for name, service in before.services.items()
        }
        edges = [
            daemon
            for daemon in tables.daemons.values()
            if daemon.kind == "proxy" and daemon.role == "edge" and daemon.state is DaemonState.UP
        ]
        return {
            "zone": zone,
            "services": services,
            "shields": [len(before.shields), len(after.shields)],
            "edges": [len(edges), sum(edge.zone != zone for edge in edges)],
            "voters there, which stay": sum(voter.zone == zone for voter in tables.voters),
            "warnings": [
                f"service {name} would have no origin in force"
                for name, left in services.items()
                if left["origins"][0] and not left["origins"][1]
            ]
            + [
                f"service {name}: what is left bears {left['rate'][1]:.0f} "
                f"of an allowance of {left['allowance']:.0f}"
                for name, left in services.items()
                if left["allowance"] is not None and 0 < left["rate"][1] < left["allowance"]
            ]
            + (["no shield would be left"] if before.shields and not after.shields else []),
        }
