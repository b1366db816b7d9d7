"""The status page: the state of the fleet with every failure verdict, for operators."""

from collections import Counter

from willowpost.configuration.routes import routes_of
from willowpost.registry.removal import safe_to_remove
from willowpost.state.codec import FAILURE_VERDICT, MEMBER, ORIGIN, OWNERSHIP, ZONE_EVACUATION
from willowpost.state.tables import Tables

DAEMON_ATTRIBUTES = ("kind", "role", "name", "zone", "address", "http", "state")


class StatusPage:
    """Makes the status page.

    A failure verdict stays on the page after its repair, with the slot that repaired it. The routes
    of a configuration are counted once, not at each call.
    """

    def __init__(self):
        self.counted = (None, {})

    def make(self, node, now: int) -> dict:
        """Return the page as a JSON object.

        Args:
            node: the registry's node.
            now: µs, own clock.
        """
        node_state = node.node_state
        tables = node_state.tables
        age = node_state.age(now)
        return {
            "registry": node_state.descriptor.id,
            "age_ms": None if age is None else age // 1000,
            "slot": tables.slot,
            "epoch": tables.epoch,
            "digest": tables.digest(),
            "core": [
                {**MEMBER.encode(voter), "state": _state_of(tables, voter.identity)}
                for voter in tables.voters
            ],
            "safe_to_remove": safe_to_remove(
                tables, node_state.holds_ownership_lease(now)
            ).as_json(),
            "daemons": {
                name: {attribute: getattr(daemon, attribute) for attribute in DAEMON_ATTRIBUTES}
                for name, daemon in sorted(tables.daemons.items())
            },
            "configuration": {
                "version": tables.configuration.version,
                **self._routes(tables.configuration),
            },
            "origins": {name: ORIGIN.encode(origin) for name, origin in tables.origins.items()},
            "origin_states": Counter(origin.state for origin in tables.origins.values()),
            "ended": len(tables.ended_tokens),
            "zones": {
                zone: ZONE_EVACUATION.encode(order)
                for zone, order in tables.zone_evacuations.items()
            },
            "fences": {
                key: OWNERSHIP.encode(ownership) for key, ownership in tables.ownerships.items()
            },
            "failure_verdicts": [
                FAILURE_VERDICT.encode(verdict) for verdict in tables.failure_verdicts
            ],
            "open": [
                FAILURE_VERDICT.encode(verdict)
                for verdict in tables.failure_verdicts
                if verdict.repaired_slot is None
            ],
        }

    def _routes(self, configuration):
        """Return how many routes there are, of which kinds, and how many split requests."""
        if self.counted[0] is not configuration:
            routes = routes_of(configuration.tree) if configuration.tree else ()
            self.counted = (
                configuration,
                {
                    "routes": len(routes),
                    "kinds": Counter(route.kind or "by method" for route in routes),
                    "splits": sum(bool(route.split) for route in routes),
                },
            )
        return self.counted[1]


def _state_of(tables: Tables, identity: str) -> str:
    daemon = tables.daemons.get(identity)
    return "unknown" if daemon is None else daemon.state
