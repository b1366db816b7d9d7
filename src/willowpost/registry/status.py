"""The status page: the state of the fleet with every failure verdict, for operators."""

from collections import Counter

from willowpost.configuration.routes import routes_of
from willowpost.registry.removal import safe_to_remove


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
                {
                    **member,
                    "state": tables.daemons.get(member["identity"], {}).get("state", "unknown"),
                }
                for member in tables.core
            ],
            "safe_to_remove": safe_to_remove(tables, node_state.ruling(now)).as_json(),
            "daemons": {
                name: {
                    key: card[key]
                    for key in ("kind", "role", "name", "zone", "address", "http", "state")
                }
                for name, card in sorted(tables.daemons.items())
            },
            "configuration": {
                "version": tables.configuration["version"],
                **self._routes(tables.configuration),
            },
            "origins": tables.origins,
            "origin_states": Counter(card["state"] for card in tables.origins.values()),
            "ended": len(tables.ended),
            "zones": tables.zones,
            "fences": tables.fences,
            "failure_verdicts": list(tables.failure_verdicts),
            "open": [
                failure_verdict
                for failure_verdict in tables.failure_verdicts
                if failure_verdict["repaired"] is None
            ],
        }

    def _routes(self, configuration):
        """Return how many routes there are, of which kinds, and how many split requests."""
        if self.counted[0] is not configuration:
            routes = routes_of(configuration["tree"]) if configuration["tree"] else ()
            self.counted = (
                configuration,
                {
                    "routes": len(routes),
                    "kinds": Counter(route.kind or "by method" for route in routes),
                    "splits": sum(bool(route.split) for route in routes),
                },
            )
        return self.counted[1]
