"""Selects the daemon that a follower polls for state updates."""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.node_state import NodeState

SOURCE_TIMEOUT_US = 450 * MILLI
MAX_TABLE_AGE_US = 700 * MILLI
PREFERRED_SOURCE_RETRY_US = 2 * SECOND
MAX_PROXY_SOURCES = 2


class SourceSelector:
    """Keeps to one source while it answers with fresh state, and else tries the next one.

    Args:
        node_state: of the follower.
        may_poll_proxies: whether the first proxies of the zone are sources too.
    """

    def __init__(self, node_state: NodeState, may_poll_proxies: bool) -> None:
        self.node_state = node_state
        self.may_poll_proxies = may_poll_proxies
        self.last_update_at = 0
        # how many sources were given up since the last return to the preferred one
        self.index = 0
        self.changed_at = 0

    def sources(self) -> list[str]:
        """Return the addresses of all possible sources, the preferred one first."""
        stores = self.node_state.store_addresses()
        return self._proxies() + stores if self.may_poll_proxies else stores

    def select(self, now: int) -> str | None:
        """Return the address to poll at `now` (µs, own clock); None if there is no source."""
        sources = self.sources()
        if not sources:
            return None
        self._change_source(now)
        return sources[self.index % len(sources)]

    def record_update(self, now: int) -> None:
        """Record that a state update came at `now` (µs, own clock)."""
        self.last_update_at = now

    def _proxies(self) -> list[str]:
        """Return the proxies of the own zone that rank before this daemon, the first ones only."""
        descriptor = self.node_state.descriptor
        zone_proxies = {
            name: proxy
            for name, proxy in self.node_state.live_daemons("proxy").items()
            if proxy.zone == descriptor.zone
        }
        ranked = Rendezvous().rank(f"state_update/{descriptor.zone}", zone_proxies)
        if descriptor.id in ranked:
            ranked = ranked[: ranked.index(descriptor.id)]
        return [zone_proxies[name].address for name in ranked[:MAX_PROXY_SOURCES]]

    def _change_source(self, now: int) -> None:
        """Leave a source that times out or is stale; return to the preferred one after a while."""
        age = self.node_state.tables_age(now)
        has_timed_out = now - self.last_update_at > SOURCE_TIMEOUT_US
        is_unhealthy = has_timed_out or (age is not None and age > MAX_TABLE_AGE_US)
        since_change = now - self.changed_at
        if is_unhealthy and since_change > SOURCE_TIMEOUT_US:
            self.index, self.changed_at = self.index + 1, now
        elif self.index and not is_unhealthy and since_change > PREFERRED_SOURCE_RETRY_US:
            self.index, self.changed_at = 0, now
