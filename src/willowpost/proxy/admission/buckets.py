"""Tokens: each request to a service takes one, and one of the origin's while that is cold."""

from collections import deque
from dataclasses import dataclass
from itertools import takewhile

from willowpost.common.clock import SECOND
from willowpost.common.rendezvous import Rendezvous
from willowpost.proxy.admission.quota_shares import (
    WINDOW,
    base_quota_of,
    fencing_token_of,
    in_whole_tokens,
)
from willowpost.proxy.admission.verdict import Let
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import OriginCard, ServiceCard

RATE_PER_SENDER = 4.0
BRIEF = 1.25  # where the rate is what the origins bear
# of what is shared out: a tenth over is borne in a window, and requests under way are a part of it
SPENT = 1.08


@dataclass(slots=True)
class Bucket:
    """A token bucket: in s seconds at r tokens a second it gives at most burst + r * s of them."""

    tokens: float = 0.0
    filled_at: int | None = None

    def take(self, rate: float, burst: float, now: int) -> bool:
        """Take one token, if there is one; `rate` in tokens a second, `now` in µs."""
        if self.filled_at is not None:
            self.tokens += rate * (now - self.filled_at) / SECOND
        self.tokens, self.filled_at = min(self.tokens, burst), now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def let(taken: bool) -> Let:
    """The verdict on a request that took a token or got none."""
    return Let.IN if taken else Let.OUT


def ramped(origin: OriginCard, service: ServiceCard, span: int) -> float:
    """What a cold origin bears, in requests a second, `span` µs after it was admitted.

    The rate of an origin that says itself how long it is cold does not rise meanwhile.
    """
    if service.told:
        return origin.cold_rate
    part = min(1.0, span / SECOND / service.ramp_seconds) if service.ramp_seconds else 1.0
    return origin.cold_rate + (origin.rate - origin.cold_rate) * part


def senders_of(capacity: float) -> int:
    """How many proxies may send to a cold origin that bears `capacity` requests a second."""
    return max(1, int(capacity / RATE_PER_SENDER))


def ramps_in_tokens(origin: OriginCard, service: ServiceCard) -> bool:
    """Whether a cold origin at first bears too little for each sender to have a token."""
    return origin.cold and senders_of(origin.cold_rate) < len(service.senders)


class Window:
    """A sliding window over a rate that changes.

    In any WINDOW seconds it gives at most SPENT times what the rates over that span amount to; what
    was not used may be used later in the same window. Between two calls the lesser of their rates
    counts, so that a quota share which has just arrived adds nothing that its former holder may
    have used.

    Args:
        since: Since when `rate` has been unused, in µs.
        rate: Requests a second.
    """

    def __init__(self, since: int, rate: float):
        # (from, to, rate), oldest first
        self.spans: deque[tuple[int, int, float]] = deque([(since, since, rate)])
        self.used: deque[int] = deque()

    def take(self, rate: float, now: int, brief: bool = False) -> bool:
        """Takes one request's worth, if there is any left.

        Args:
            rate: Requests a second from now on.
            now: This process's clock, in µs.
            brief: Whether unused quota may not be spent in a burst: any second then has at most
                BRIEF times the rate.
        """
        start, at, before = self.spans[-1]
        if rate >= before:
            self.spans[-1] = (start, now, before)
            if rate > before:
                self.spans.append((now, now, rate))
        else:
            self.spans.append((at, now, rate))
        first = now - int(WINDOW * SECOND)
        while self.spans[0][1] < first:
            self.spans.popleft()
        while self.used and self.used[0] <= first:
            self.used.popleft()
        accrued = (
            sum((until - max(since, first)) * held for since, until, held in self.spans) / SECOND
        )
        if len(self.used) + 1 > SPENT * accrued or (
            brief and self._lately(now) + 1 > max(1.0, BRIEF * rate)
        ):
            return False
        self.used.append(now)
        return True

    def _lately(self, now: int) -> int:
        return sum(1 for _ in takewhile(lambda at: at > now - SECOND, reversed(self.used)))


class Allowance:
    """Admission by the services' rates; without a base quota or a grant nothing is admitted."""

    def __init__(self, node_state: ProxyState):
        self.node_state = node_state
        # service -> (since when this proxy is its sender, what it may still use)
        self.windows: dict[str, tuple[int | None, Window]] = {}

    def let_in(self, name: str, now: int) -> Let:
        """Whether one more request may go to a service now (µs)."""
        node_state = self.node_state
        service = node_state.snapshot.services.get(name)
        node_state.demand[name] = node_state.demand.get(name, 0) + 1
        if service is None:
            return Let.OUT
        if in_whole_tokens(service):
            return Let.ASK
        grant = node_state.grants.get(name)
        fence = fencing_token_of(node_state, name)
        granted = (
            grant.rate if grant is not None and now < grant.until and grant.fence == fence else 0.0
        )
        base_quota = base_quota_of(node_state, service, now)
        rate = base_quota + granted
        if rate <= 0:
            return Let.OUT
        sender_since = node_state.sender_since.get(name)
        held = self.windows.get(name)
        if held is None or held[0] != sender_since:
            since = self._unused_since(sender_since, now) if base_quota else now
            held = self.windows[name] = (sender_since, Window(since, base_quota))
        return let(held[1].take(rate, now, service.borne))

    def _unused_since(self, sender_since: int | None, now: int) -> int:
        """Since when the base quota has been unused; all other senders left it free by then.

        A proxy that becomes a sender, because the shields that were have gone, knows nothing of
        what they have used: its window begins empty.
        """
        warmed_up = self.node_state.warmed_up_since()
        since = now if warmed_up is None else min(now, warmed_up)
        if sender_since is not None:
            since = max(since, sender_since)
        return max(now - int(WINDOW * SECOND), since)


class Ramp:
    """Admission to cold origins.

    All proxies together send a cold origin no more than its ramped rate and one token for each of
    its few senders: one for each 4 requests a second, at least one. From a capacity of 4 on, a
    second thus holds at most 1.25 times the capacity. An origin too slow at first for each sender
    to have a token is sent requests by admission tokens all through its ramp.
    """

    def __init__(self, node_state: ProxyState):
        self.node_state = node_state
        self.buckets: dict[str, Bucket] = {}
        self.ranks: dict[tuple[str, tuple[str, ...]], int] = {}
        # origins whose process was seen to end; treated as cold whatever the log says
        self.suspects: dict[str, int] = {}

    def suspect(self, origin: str, now: int) -> None:
        """Treats an origin as cold because its process was seen to end."""
        self.suspects = {
            name: since
            for name, since in self.suspects.items()
            if name in self.node_state.snapshot.origins
        }
        self.suspects[origin] = now

    def cold(self, origin: OriginCard, service: ServiceCard, now: int) -> bool:
        """Whether an origin is cold by the tables, its own last heartbeat or what was seen here."""
        suspected = self.suspects.get(origin.name)
        if not service.told:
            return origin.cold or suspected is not None
        at, until = self.node_state.cold.get(origin.name, (0, 0))
        if suspected is not None and at > suspected:
            del self.suspects[origin.name]
            suspected = None
        return bool(
            suspected is not None
            or until > now
            or (origin.cold and not at > self.node_state.cold_since.get(origin.name, now))
        )

    def let_in(self, origin: OriginCard, service: ServiceCard, now: int) -> Let:
        """Whether one more request may go to this origin now (µs)."""
        suspected = self.suspects.get(origin.name)
        if (
            suspected is not None
            and not service.told
            and now - suspected > service.ramp_seconds * SECOND
        ):
            suspected = self.suspects.pop(origin.name)
        if not self.cold(origin, service, now):
            return Let.IN
        if not service.told and ramps_in_tokens(origin, service):
            return Let.ASK
        since = (
            suspected if suspected is not None else self.node_state.cold_since.get(origin.name, now)
        )
        capacity = ramped(origin, service, now - since)
        few = senders_of(capacity)
        if self._rank(origin.name, service.senders) >= few:
            return Let.OUT
        rate = capacity / min(few, max(1, len(service.senders)))
        return let(self.buckets.setdefault(origin.name, Bucket()).take(rate, 1.0, now))

    def _rank(self, origin: str, senders: tuple[str, ...]) -> int:
        key = (origin, senders)
        if key not in self.ranks:
            if len(self.ranks) > 1000:
                self.ranks.clear()
            ranked = Rendezvous().rank(f"ramp/{origin}", senders)
            mine = self.node_state.descriptor.id
            self.ranks[key] = ranked.index(mine) if mine in ranked else len(ranked)
        return self.ranks[key]
