"""What all stand-in origins of one process saw."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from willowpost.common.clock import SECOND


@dataclass(slots=True)
class Ledger:
    """One ledger for all origins, so that a write that ran on two of them counts twice.

    Attributes:
        writes: how often each write ran, by its id.
        seen: address to the requests in each second of the clock.
        services: address to the requests by the first part of their paths.
        version: of the content that origins serve.
        arrivals: a request's id to (address, when in µs) of each arrival.
        done: a request's id to when (µs) its last work was done, answered or not.
        overrun: requests that came to an origin at over twice its rate, by its address.
    """

    writes: Counter[str] = field(default_factory=Counter)
    seen: dict[str, Counter[int]] = field(default_factory=dict)
    services: dict[str, Counter[str]] = field(default_factory=dict)
    version: int = 1
    arrivals: dict[str, list[tuple[str, int]]] = field(default_factory=dict)
    done: dict[str, int] = field(default_factory=dict)
    overrun: Counter[str] = field(default_factory=Counter)

    def record_arrival(self, address: str, request_id: str | None, now: int) -> None:
        """Record that a request came, whatever becomes of it."""
        if request_id:
            self.arrivals.setdefault(request_id, []).append((address, now))

    def record_done(self, request_id: str | None, now: int) -> None:
        """Record that the work for a request is done."""
        if request_id:
            self.done[request_id] = now

    def record_run(self, address: str, path: str, now: int) -> None:
        """Record that a request is worked on."""
        self.seen.setdefault(address, Counter())[now // SECOND] += 1
        self.services.setdefault(address, Counter())[path.split("/")[1]] += 1

    def requests_in_second(self, address: str, now: int) -> int:
        """Return how many requests the origin has worked on in this second of the clock."""
        return self.seen.get(address, Counter())[now // SECOND]

    def as_json(self) -> dict[str, Any]:
        """Return the ledger as a drill reads it."""
        return {
            "writes": dict(self.writes),
            "version": self.version,
            "arrivals": self.arrivals,
            "done": self.done,
            "seen": {address: dict(counts) for address, counts in self.seen.items()},
            "services": {address: dict(counts) for address, counts in self.services.items()},
        }
