"""Slow start: admission to origins that warm up."""

from willowpost.common.clock import SECOND
from willowpost.common.rendezvous import Rendezvous
from willowpost.proxy.admission.admission_decision import AdmissionDecision
from willowpost.proxy.admission.token_bucket import TokenBucket
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableOrigin, RoutableService

RATE_PER_SENDER = 4.0  # requests a second
MAX_CACHED_RANKS = 1000


def slow_start_rate_of(origin: RoutableOrigin, service: RoutableService, elapsed: int) -> float:
    """Returns what an origin that warms up can take, in requests a second.

    The rate of an origin that reports itself how long it warms up does not rise meanwhile.

    Args:
        origin: The origin.
        service: Its service.
        elapsed: The µs since it was admitted.
    """
    if service.reports_warm_up:
        return origin.slow_start_rate
    duration = service.slow_start_seconds
    progress = min(1.0, elapsed / SECOND / duration) if duration else 1.0
    return origin.slow_start_rate + (origin.rate - origin.slow_start_rate) * progress


def max_senders(rate: float) -> int:
    """Returns how many proxies may send to an origin that takes `rate` requests a second."""
    return max(1, int(rate / RATE_PER_SENDER))


def is_slow_start_by_tokens(origin: RoutableOrigin, service: RoutableService) -> bool:
    """Whether an origin at first takes too little for each sender to have a token."""
    return origin.is_warming_up and max_senders(origin.slow_start_rate) < len(service.senders)


class SlowStartAdmission:
    """Admission to origins that warm up.

    All proxies together send such an origin no more than its slow-start rate and one token for each
    of its few senders: one for each 4 requests a second, at least one. From a rate of 4 on, a
    second thus has at most 1.25 times the rate. An origin too slow at first for each sender to have
    a token is sent requests by admission tokens all through its slow start.

    Args:
        node_state: The proxy's shared state.
    """

    def __init__(self, node_state: ProxyState) -> None:
        self.node_state = node_state
        self.buckets: dict[str, TokenBucket] = {}  # by origin
        self.ranks: dict[tuple[str, tuple[str, ...]], int] = {}  # by origin and senders
        # Origin to when its process was seen to end; it warms up whatever its state in the log.
        self.suspected_at: dict[str, int] = {}

    def suspect_restart(self, origin_name: str, now: int) -> None:
        """Lets an origin warm up because its process was seen to end; `now` is in µs."""
        in_force = self.node_state.snapshot.origins
        self.suspected_at = {
            name: since for name, since in self.suspected_at.items() if name in in_force
        }
        self.suspected_at[origin_name] = now

    def is_warming_up(self, origin: RoutableOrigin, service: RoutableService, now: int) -> bool:
        """Whether an origin warms up by the tables, its last heartbeat or what was seen here."""
        suspected_at = self.suspected_at.get(origin.name)
        if not service.reports_warm_up:
            return origin.is_warming_up or suspected_at is not None
        reported_at, until = self.node_state.reported_warm_up.get(origin.name, (0, 0))
        if suspected_at is not None and reported_at > suspected_at:
            del self.suspected_at[origin.name]
            suspected_at = None
        if suspected_at is not None or until > now:
            return True
        known_since = self.node_state.warming_up_since.get(origin.name, now)
        return origin.is_warming_up and not reported_at > known_since

    def admit(
        self, origin: RoutableOrigin, service: RoutableService, now: int
    ) -> AdmissionDecision:
        """Decides whether one more request may go to this origin now (µs)."""
        suspected_at = self.suspected_at.get(origin.name)
        self._end_suspicion(origin, service, now)
        if not self.is_warming_up(origin, service, now):
            return AdmissionDecision.ADMITTED
        if not service.reports_warm_up and is_slow_start_by_tokens(origin, service):
            return AdmissionDecision.NEEDS_TOKEN
        since = (
            suspected_at
            if suspected_at is not None
            else self.node_state.warming_up_since.get(origin.name, now)
        )
        rate = slow_start_rate_of(origin, service, now - since)
        sender_count = max_senders(rate)
        if self._own_rank(origin.name, service.senders) >= sender_count:
            return AdmissionDecision.REJECTED
        own_rate = rate / min(sender_count, max(1, len(service.senders)))
        bucket = self.buckets.setdefault(origin.name, TokenBucket())
        return AdmissionDecision.of(bucket.take(own_rate, 1.0, now))

    def _end_suspicion(self, origin: RoutableOrigin, service: RoutableService, now: int) -> None:
        """Ends the suspicion against an origin that has had the time of a slow start."""
        suspected_at = self.suspected_at.get(origin.name)
        if (
            suspected_at is not None
            and not service.reports_warm_up
            and now - suspected_at > service.slow_start_seconds * SECOND
        ):
            del self.suspected_at[origin.name]

    def _own_rank(self, origin_name: str, senders: tuple[str, ...]) -> int:
        """Returns this proxy's rank among the senders, by rendezvous hashing; 0 sends first."""
        key = (origin_name, senders)
        if key not in self.ranks:
            if len(self.ranks) > MAX_CACHED_RANKS:
                self.ranks.clear()
            ranked = Rendezvous().rank(f"ramp/{origin_name}", senders)
            own_id = self.node_state.descriptor.id
            self.ranks[key] = ranked.index(own_id) if own_id in ranked else len(ranked)
        return self.ranks[key]
