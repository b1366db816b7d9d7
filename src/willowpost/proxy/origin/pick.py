"""Load balancing: ranks the origins in force by the response time to be expected of each.

Origins in the proxy's own zone are preferred.
"""

import math
import random
from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Protocol

from willowpost.common.clock import MILLI, SECOND
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
# an origin is unresponsive if a request waits this long, and four times the usual latency
MIN_UNRESPONSIVE_US = 250 * MILLI
UNRESPONSIVE_LATENCIES = 4
DEFAULT_LATENCY_US = 50 * MILLI  # while no origin of the service has answered yet
LATENCY_SMOOTHING = 0.15
LOAD_HALF_LIFE_US = 1 * SECOND  # of the load that a response reports
LATENCY_HALF_LIFE_US = 2 * SECOND  # of what is known of an origin that is sent nothing
FREE_UTILIZATION = 0.6  # the part of the slots that may be busy before queueing is expected
JITTER = 0.1  # so that several proxies do not choose the same origin at once


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Returns a number from 0 to 1."""


@dataclass(frozen=True, slots=True)
class ResponseLoad:
    """The load that an origin reported in its last response with a load header.

    Attributes:
        busy: Requests that it works on or has queued.
        slots: Requests that it works on at once.
        own_in_flight: This proxy's requests to it at that moment.
        received_at: When the response came, by this process's clock, in µs.
    """

    busy: int
    slots: int
    own_in_flight: int
    received_at: int


@dataclass(slots=True)
class OriginMeasurements:
    """What was measured of one origin.

    Attributes:
        latency_us: The smoothed duration of an exchange, in µs; None before the first response.
        last_response_at: When the last response came, by this process's clock, in µs, or None.
        load: The load that it last reported in a response, or None.
        sent_at: When each request in flight was sent, by ticket, in µs.
    """

    latency_us: float | None = None
    last_response_at: int | None = None
    load: ResponseLoad | None = None
    sent_at: dict[int, int] = field(default_factory=dict)


NO_MEASUREMENTS = OriginMeasurements()


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

    def answered(self, name: str, took: int, load_header: str | None, now: int) -> None:
        """Records a response.

        Args:
            name: The origin.
            took: Duration of the exchange, in µs.
            load_header: The origin's load header: running, waiting and slots, joined by commas; or
                None.
            now: This process's clock, in µs.
        """
        measurements = self._measurements_of(name)
        latency = measurements.latency_us
        measurements.latency_us = (
            took if latency is None else latency + LATENCY_SMOOTHING * (took - latency)
        )
        measurements.last_response_at = now
        numbers = (load_header or "").split(",")
        if len(numbers) == 3 and all(number.strip().isdigit() for number in numbers):
            running, queued, slots = map(int, numbers)
            measurements.load = ResponseLoad(running + queued, slots, self.load.get(name, 0), now)

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
        measurements = self._measurements.get(name, NO_MEASUREMENTS)
        oldest_sent_at = min(measurements.sent_at.values(), default=now)
        latency = measurements.latency_us
        usual_latency = DEFAULT_LATENCY_US if latency is None else latency
        limit = max(MIN_UNRESPONSIVE_US, UNRESPONSIVE_LATENCIES * usual_latency)
        return (
            now - oldest_sent_at > limit and (measurements.last_response_at or 0) <= oldest_sent_at
        )

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

    def _expected_latency(self, name: str, least_latency: float, now: int) -> float:
        """Returns the expected response time, in µs.

        It returns to the least latency of all while the origin is sent nothing, since it may have
        recovered. An origin that has not answered yet counts as quick as the quickest, or it would
        never be tried where all others are quick.
        """
        measurements = self._measurements.get(name, NO_MEASUREMENTS)
        if measurements.latency_us is None or measurements.last_response_at is None:
            return least_latency
        idle_us = now - measurements.last_response_at
        excess = measurements.latency_us - least_latency
        return least_latency + excess * math.pow(0.5, idle_us / LATENCY_HALF_LIFE_US)

    def _queueing_cost(self, origin: OriginCard, now: int) -> float:
        """Returns by which factor the origin's load prolongs a response."""
        in_flight = self.load.get(origin.name, 0)
        load = self._measurements.get(origin.name, NO_MEASUREMENTS).load
        if load is None:
            load = ResponseLoad(0, origin.slots, 0, now)
        decay = math.pow(0.5, (now - load.received_at) / LOAD_HALF_LIFE_US)
        in_flight_of_others = max(0, load.busy - load.own_in_flight) * decay
        utilization = (in_flight_of_others + in_flight + 1) / max(1, load.slots)
        queueing = max(0.0, utilization - FREE_UTILIZATION) * 2.0
        overload = max(0.0, utilization - 1.0) * 6.0
        return 1.0 + queueing + overload

    def _cost(self, origin: OriginCard, least_latency: float, now: int, heavy: bool) -> float:
        """Returns the cost of choosing an origin; the least is best."""
        distance = self._distance_cost(origin.zone, heavy)
        if not origin.slots:
            return (self.load.get(origin.name, 0) + 1) * distance / origin.rate
        return (
            self._expected_latency(origin.name, least_latency, now)
            * self._queueing_cost(origin, now)
            * distance
            * (1.0 + JITTER * self.chance.random())
        )
