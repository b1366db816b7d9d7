"""What a proxy measures of one origin: latency, reported load and unanswered requests."""

import math
from dataclasses import dataclass, field

from willowpost.common.clock import MILLI, SECOND

# an origin is unresponsive if a request waits this long, and four times the usual latency
MIN_UNRESPONSIVE_US = 250 * MILLI
UNRESPONSIVE_LATENCIES = 4
DEFAULT_LATENCY_US = 50 * MILLI  # while no origin of the service has answered yet
LATENCY_SMOOTHING = 0.15
LATENCY_HALF_LIFE_US = 2 * SECOND  # of what is known of an origin that is sent nothing
LOAD_HALF_LIFE_US = 1 * SECOND  # of the load that a response reports
LOAD_HEADER_FIELDS = 3  # running, waiting and slots


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

    def utilization(self, own_in_flight: int, now: int) -> float:
        """Returns the busy part of its slots with one more request.

        Args:
            own_in_flight: This proxy's requests to it now.
            now: This process's clock, in µs.
        """
        decay = math.pow(0.5, (now - self.received_at) / LOAD_HALF_LIFE_US)
        in_flight_of_others = max(0, self.busy - self.own_in_flight) * decay
        return (in_flight_of_others + own_in_flight + 1) / max(1, self.slots)


def parse_load_header(value: str | None, own_in_flight: int, now: int) -> ResponseLoad | None:
    """Parses a load header: running, waiting and slots, joined by commas.

    Args:
        value: The header, or None.
        own_in_flight: This proxy's requests to the origin now.
        now: This process's clock, in µs.

    Returns:
        None if the header is absent or malformed.
    """
    numbers = (value or "").split(",")
    is_valid = all(number.strip().isdigit() for number in numbers)
    if len(numbers) != LOAD_HEADER_FIELDS or not is_valid:
        return None
    running, queued, slots = map(int, numbers)
    return ResponseLoad(running + queued, slots, own_in_flight, now)


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

    def record_response(self, latency_us: int, load: ResponseLoad | None, now: int) -> None:
        """Records a response.

        Args:
            latency_us: Duration of the exchange, in µs.
            load: The load that it reports; None leaves the last one.
            now: This process's clock, in µs.
        """
        usual = self.latency_us
        self.latency_us = (
            latency_us if usual is None else usual + LATENCY_SMOOTHING * (latency_us - usual)
        )
        self.last_response_at = now
        self.load = load or self.load

    def is_unresponsive(self, now: int) -> bool:
        """Whether it owes a response for long and has answered nothing sent later."""
        oldest_sent_at = min(self.sent_at.values(), default=now)
        latency_us = DEFAULT_LATENCY_US if self.latency_us is None else self.latency_us
        limit_us = max(MIN_UNRESPONSIVE_US, UNRESPONSIVE_LATENCIES * latency_us)
        has_answered_later = (self.last_response_at or 0) > oldest_sent_at
        return now - oldest_sent_at > limit_us and not has_answered_later

    def expected_latency(self, least_latency_us: float, now: int) -> float:
        """Returns the expected response time, in µs.

        It returns to the least latency of all while the origin is sent nothing, since it may have
        recovered. An origin that has not answered yet counts as quick as the quickest, or it would
        never be tried where all others are quick.

        Args:
            least_latency_us: The latency of the quickest origin.
            now: This process's clock, in µs.
        """
        if self.latency_us is None or self.last_response_at is None:
            return least_latency_us
        decay = math.pow(0.5, (now - self.last_response_at) / LATENCY_HALF_LIFE_US)
        return least_latency_us + (self.latency_us - least_latency_us) * decay


NO_MEASUREMENTS = OriginMeasurements()
