"""Load balancing: ranks the origins in force by the response time to be expected of each.

Origins in the proxy's own zone are preferred.
"""

import random
from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence
from statistics import median
from typing import Protocol

from willowpost.common.clock import SECOND
from willowpost.proxy.origin.measurements import (
    DEFAULT_LATENCY_US,
    NO_MEASUREMENTS,
    OriginMeasurements,
    ResponseLoad,
    parse_load_header,
)
from willowpost.proxy.origin.reports import MAX_REPORT_AGE_US
from willowpost.proxy.routing.snapshot import OriginCard

EJECTION_US = 1 * SECOND
MAX_LOAD_PENALTY = 4.0
# a report is of one moment: a few requests more, or a third more, is no difference
LOAD_OFFSET, LOAD_TOLERANCE = 2, 1.3
HEAVY = 32 * 1024  # bytes of a response, from which on its transfer costs more than its wait
# the cost of a distance by whether responses are heavy
OTHER_ZONE_COST = {False: 1.3, True: 2.0}
OTHER_REGION_COST = {False: 1.5, True: 8.0}
FREE_UTILIZATION = 0.6  # the part of the slots that may be busy before queueing is expected
# how much busy slots beyond that part, and queued requests, prolong a response
QUEUEING_COST, OVERLOAD_COST = 2.0, 6.0
JITTER = 0.1  # so that several proxies do not choose the same origin at once


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Returns a number from 0 to 1."""


class OriginPicker:
    """Ranks origins by expected response time, load and distance.

    An origin that just failed is ranked last, and one that is warming up after all others that are
    healthy. The load in an origin's heartbeats can only lower its rank, by a factor of at most
    MAX_LOAD_PENALTY: an origin that reports too little load gains nothing over one that reports
    none.

    Args:
        zone: The proxy's zone.
        chance: The source of random numbers.
        reports: Returns the load reports, (load, reported at in µs) by origin.
        regions: Zone to region.

    Attributes:
        load: The number of this proxy's requests in flight by origin; not forgotten by keep_only(),
            since each request ends its own count.
        ejected_until: Until when an origin is ranked last, by this process's clock, in µs.
    """

    def __init__(
        self,
        zone: str,
        chance: RandomSource = random,
        reports: Callable[[], Mapping[str, tuple[float, int]]] = dict,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.zone = zone
        self.chance = chance
        self.reports = reports
        self.regions = regions or {}
        self.load: dict[str, int] = {}
        self.ejected_until: dict[str, int] = {}
        self._measurements: dict[str, OriginMeasurements] = {}
        self._last_ticket = 0

    def pick(
        self,
        origins: Iterable[OriginCard],
        zones: Container[str] | None,
        tried: Container[str],
        now: int,
        heavy: bool = False,
    ) -> list[OriginCard]:
        """Returns the origins that a request may be sent to, best first.

        Args:
            origins: The origins in force.
            zones: Zones whose origins may serve; None for all.
            tried: Names of origins that this request was sent to already.
            now: This process's clock, in µs.
            heavy: Whether large responses are to be expected.
        """
        allowed = [
            origin
            for origin in origins
            if (zones is None or origin.zone in zones) and origin.name not in tried
        ]
        penalties = self._load_penalties(allowed, now)
        least_latency = self._least_latency(allowed)
        return sorted(
            allowed,
            key=lambda origin: (
                self._is_ejected(origin.name, now),
                origin.cold,
                self.silent(origin.name, now),
                self._cost(origin, least_latency, now, heavy) * penalties.get(origin.name, 1.0),
                self.chance.random(),
            ),
        )

    def began(self, name: str, now: int = 0) -> int:
        """Counts a request to an origin as in flight.

        Returns:
            A ticket for ended().
        """
        self.load[name] = self.load.get(name, 0) + 1
        self._last_ticket += 1
        self._measurements_of(name).sent_at[self._last_ticket] = now
        return self._last_ticket

    def ended(self, name: str, ticket: int = 0) -> None:
        """Ends the count of a request, whatever its result."""
        remaining = self.load.get(name, 1) - 1
        if remaining:
            self.load[name] = remaining
        else:
            self.load.pop(name, None)
        if name in self._measurements:
            self._measurements[name].sent_at.pop(ticket, None)

    def answered(self, name: str, latency_us: int, load_header: str | None, now: int) -> None:
        """Records a response.

        Args:
            name: The origin.
            latency_us: Duration of the exchange, in µs.
            load_header: The origin's load header: running, waiting and slots, joined by commas; or
                None.
            now: This process's clock, in µs.
        """
        load = parse_load_header(load_header, self.load.get(name, 0), now)
        self._measurements_of(name).record_response(latency_us, load, now)

    def eject(self, name: str, now: int, span: int = EJECTION_US) -> None:
        """Ranks an origin last for `span` µs from now."""
        self.ejected_until = {
            origin: until for origin, until in self.ejected_until.items() if until > now
        }
        self.ejected_until[name] = now + span

    def keep_only(self, names: Container[str]) -> None:
        """Forgets the measurements of all origins but these."""
        for name in [name for name in self._measurements if name not in names]:
            del self._measurements[name]

    def avoided(self, name: str, now: int) -> bool:
        """Whether a shield should be tried last: it failed lately, or is unresponsive."""
        return self._is_ejected(name, now) or self.silent(name, now)

    def silent(self, name: str, now: int) -> bool:
        """Whether it owes a response for long and has answered nothing sent later."""
        return self._measurements.get(name, NO_MEASUREMENTS).is_unresponsive(now)

    def _measurements_of(self, name: str) -> OriginMeasurements:
        return self._measurements.setdefault(name, OriginMeasurements())

    def _is_ejected(self, name: str, now: int) -> bool:
        return self.ejected_until.get(name, 0) > now

    def _least_latency(self, origins: Sequence[OriginCard]) -> float:
        measured = (self._measurements.get(origin.name, NO_MEASUREMENTS) for origin in origins)
        latencies = (each.latency_us for each in measured if each.latency_us is not None)
        return min(latencies, default=DEFAULT_LATENCY_US)

    def _load_penalties(self, origins: Collection[OriginCard], now: int) -> dict[str, float]:
        """Returns how many times busier than the median each origin reports to be, at least 1.

        Load is relative to the origin's rate. Reports older than MAX_REPORT_AGE_US do not count.
        """
        reports = self.reports()
        relative_loads = {
            origin.name: (reports[origin.name][0] + LOAD_OFFSET) / origin.rate
            for origin in origins
            if origin.name in reports and now - reports[origin.name][1] <= MAX_REPORT_AGE_US
        }
        median_load = median(relative_loads.values()) if relative_loads else 1.0
        return {
            name: min(MAX_LOAD_PENALTY, max(1.0, load / median_load / LOAD_TOLERANCE))
            for name, load in relative_loads.items()
        }

    def _distance_cost(self, zone: str, heavy: bool) -> float:
        if zone == self.zone:
            return 1.0
        is_same_region = self.regions.get(zone) == self.regions.get(self.zone)
        return (OTHER_ZONE_COST if is_same_region else OTHER_REGION_COST)[heavy]

    def _queueing_cost(self, origin: OriginCard, now: int) -> float:
        """Returns by which factor the origin's load prolongs a response."""
        load = self._measurements.get(origin.name, NO_MEASUREMENTS).load
        load = load or ResponseLoad(0, origin.slots, 0, now)
        utilization = load.utilization(self.load.get(origin.name, 0), now)
        queueing = max(0.0, utilization - FREE_UTILIZATION) * QUEUEING_COST
        overload = max(0.0, utilization - 1.0) * OVERLOAD_COST
        return 1.0 + queueing + overload

    def _cost(self, origin: OriginCard, least_latency: float, now: int, heavy: bool) -> float:
        """Returns the cost of choosing an origin; the least is best."""
        distance = self._distance_cost(origin.zone, heavy)
        if not origin.slots:
            return (self.load.get(origin.name, 0) + 1) * distance / origin.rate
        measurements = self._measurements.get(origin.name, NO_MEASUREMENTS)
        return (
            measurements.expected_latency(least_latency, now)
            * self._queueing_cost(origin, now)
            * distance
            * (1.0 + JITTER * self.chance.random())
        )
