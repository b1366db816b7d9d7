"""The figures of a proxy, as its metrics page tells them."""

from collections.abc import Iterable
from itertools import accumulate
from math import inf

from willowpost.common.clock import SECOND
from willowpost.proxy.outgoing import AGE_BOUNDS_MS, OutgoingRequests
from willowpost.shell.metrics import Figure, HistogramFigure

MILLIS = 1000


class ProxyFigures:
    """Reads the figures of one proxy.

    Args:
        front: The callers' side, with its counters.
        node_state: The proxy's shared state.
        outgoing: The requests that have left.
    """

    def __init__(self, front, node_state, outgoing: OutgoingRequests):
        self.front, self.node_state, self.outgoing = front, node_state, outgoing

    def __call__(self) -> Iterable[Figure | HistogramFigure]:
        """The figures as they are now."""
        age = self.node_state.age(self.front.now())
        yield Figure("events", "Events by name.", dict(self.front.stats), "event", total=True)
        yield Figure(
            "invariant_violations",
            "Requests that broke an invariant when or after they were sent.",
            dict(self.outgoing.violations),
            "invariant",
            total=True,
        )
        yield _single("requests_in_flight", "Callers' requests under way.", self.front.in_flight)
        yield _single(
            "exchanges", "Exchanges with origins and shields.", len(self.outgoing.under_way)
        )
        yield _single(
            "exchanges_without_caller",
            "Exchanges under way for which nobody waits.",
            self.outgoing.without_caller(),
        )
        yield _single("log_slot", "The slot that the tables have.", self.node_state.tables.slot)
        if age is not None:
            yield _single("tables_age_seconds", "The age of the tables.", age / SECOND)
        yield self._ages()

    def _ages(self):
        ages = self.outgoing.ages
        bounds = [bound / MILLIS for bound in AGE_BOUNDS_MS] + [inf]
        counts = list(zip(bounds, accumulate(ages.counts), strict=True))
        text = "The age of the tables by which requests were sent."
        return HistogramFigure("sent_tables_age_seconds", text, counts, ages.total / SECOND)


def _single(name, text, value):
    return Figure(name, text, {"": value})
