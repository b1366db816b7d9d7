"""The status page: the state of the fleet with every failure verdict, for operators."""

from collections import Counter
from dataclasses import dataclass
from typing import Any, Protocol

from willowpost.configuration.routes import routes_of
from willowpost.node.node_state import NodeState
from willowpost.registry.removal import safe_to_remove
from willowpost.state.codec import FAILURE_VERDICT, MEMBER, ORIGIN, OWNERSHIP, ZONE_EVACUATION
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.tables import Tables

DAEMON_ATTRIBUTES = ("kind", "role", "name", "zone", "address", "http", "state")
UNKNOWN_STATE = "unknown"  # of a voter that has not joined
Section = dict[str, Any]  # members of the page, by their published names


class FollowerNode(Protocol):
    """A node with the state of a follower of the log."""

    node_state: NodeState


@dataclass(frozen=True, slots=True)
class CountedRoutes:
    """The counts of a configuration's routes, as the page shows them."""

    configuration: ActiveConfiguration
    counts: Section


class StatusPage:
    """Makes the status page.

    A failure verdict stays on the page after its repair, with the slot that repaired it. The routes
    of a configuration are counted once, not at each call.
    """

    def __init__(self) -> None:
        self._counted: CountedRoutes | None = None

    def make(self, node: FollowerNode, now: int) -> Section:
        """Return the page as a JSON object.

        Args:
            node: the registry's node.
            now: µs, own clock.
        """
        node_state = node.node_state
        tables = node_state.tables
        return {
            **_registry_section(node_state, now),
            **_core_section(tables, node_state.holds_ownership_lease(now)),
            "daemons": {
                name: {attribute: getattr(daemon, attribute) for attribute in DAEMON_ATTRIBUTES}
                for name, daemon in sorted(tables.daemons.items())
            },
            "configuration": {
                "version": tables.configuration.version,
                **self._route_counts(tables.configuration),
            },
            **_origins_section(tables),
            **_orders_section(tables),
            **_failures_section(tables),
        }

    def _route_counts(self, configuration: ActiveConfiguration) -> Section:
        """Return how many routes there are, of which kinds, and how many split requests."""
        if self._counted is None or self._counted.configuration is not configuration:
            routes = routes_of(configuration.tree) if configuration.tree else ()
            counts = {
                "routes": len(routes),
                "kinds": Counter(route.kind or "by method" for route in routes),
                "splits": sum(bool(route.split) for route in routes),
            }
            self._counted = CountedRoutes(configuration, counts)
        return self._counted.counts


def _registry_section(node_state: NodeState, now: int) -> Section:
    """Return which registry made the page, and from which tables."""
    age_us = node_state.age(now)
    return {
        "registry": node_state.descriptor.id,
        "age_ms": None if age_us is None else age_us // 1000,
        "slot": node_state.tables.slot,
        "epoch": node_state.tables.epoch,
        "digest": node_state.tables.digest(),
    }


def _core_section(tables: Tables, is_fresh: bool) -> Section:
    return {
        "core": [
            {**MEMBER.encode(voter), "state": _state_of(tables, voter.identity)}
            for voter in tables.voters
        ],
        "safe_to_remove": safe_to_remove(tables, is_fresh).as_json(),
    }


def _origins_section(tables: Tables) -> Section:
    return {
        "origins": {name: ORIGIN.encode(origin) for name, origin in tables.origins.items()},
        "origin_states": Counter(origin.state for origin in tables.origins.values()),
        "ended": len(tables.ended_tokens),
    }


def _orders_section(tables: Tables) -> Section:
    """Return the orders about zones, and the owners of the singleton roles."""
    return {
        "zones": {
            zone: ZONE_EVACUATION.encode(evacuation)
            for zone, evacuation in tables.zone_evacuations.items()
        },
        "fences": {
            key: OWNERSHIP.encode(ownership) for key, ownership in tables.ownerships.items()
        },
    }


def _failures_section(tables: Tables) -> Section:
    """Return all failure verdicts, and again those that are not repaired yet."""
    return {
        "failure_verdicts": [
            FAILURE_VERDICT.encode(verdict) for verdict in tables.failure_verdicts
        ],
        "open": [
            FAILURE_VERDICT.encode(verdict)
            for verdict in tables.failure_verdicts
            if verdict.repaired_slot is None
        ],
    }


def _state_of(tables: Tables, identity: str) -> str:
    daemon = tables.daemons.get(identity)
    return UNKNOWN_STATE if daemon is None else daemon.state
