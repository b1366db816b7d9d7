"""The metrics of a process as text, in the format of Prometheus.

The client library is imported at the first scrape: it costs megabytes, and most processes are never
scraped.
"""

import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf
from types import ModuleType
from typing import Any

from willowpost.common.clock import SECOND
from willowpost.common.duration_histogram import DurationHistogram

MS_PER_SECOND = 1000
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Metric:
    """A gauge or counter, or several distinguished by one label.

    Attributes:
        name: its name, without the product's prefix.
        description: what it measures, and in which unit.
        values: label value to metric value; "" for a metric without a label.
        label: the label's name.
        is_counter: whether it only grows.
    """

    name: str
    description: str
    values: dict[str, float]
    label: str = ""
    is_counter: bool = False


@dataclass(frozen=True, slots=True)
class LabelledCounter:
    """Counters that are distinguished by several labels.

    Attributes:
        name: their name, without the product's prefix.
        description: what they count.
        labels: the labels' names.
        values: the labels' values, in the order of their names, to the counter.
    """

    name: str
    description: str
    labels: tuple[str, ...]
    values: Mapping[tuple[str, ...], float]


@dataclass(frozen=True, slots=True)
class HistogramMetric:
    """A histogram.

    Attributes:
        name: its name, without the product's prefix.
        description: what it measures, and in which unit.
        buckets: (upper bound, how many observations were at most that); the last bound is infinite.
        sum: of all observations.
    """

    name: str
    description: str
    buckets: list[tuple[float, int]] = field(default_factory=list)
    sum: float = 0.0


def gauge(name: str, description: str, value: float) -> Metric:
    """Return a gauge without a label."""
    return Metric(name, description, {"": value})


def duration_metric(name: str, description: str, durations: DurationHistogram) -> HistogramMetric:
    """Return a histogram in seconds."""
    bounds = [bound / MS_PER_SECOND for bound in durations.bounds_ms] + [inf]
    buckets = list(zip(bounds, accumulate(durations.counts), strict=True))
    return HistogramMetric(name, description, buckets, durations.total / SECOND)


NAME_PREFIX = "willowpost_"
AnyMetric = Metric | LabelledCounter | HistogramMetric
MetricsSource = Callable[[], Iterable[AnyMetric]]


class MetricsPage:
    """A WSGI application that serves a process's metrics, whatever the path.

    Args:
        source: returns the metrics as they are now.
    """

    in_flight = 0

    def __init__(self, source: MetricsSource) -> None:
        self.source = source
        self._registry: Any = None

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Respond to one WSGI request."""
        body = self.text()
        start_response(
            "200 OK", [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        )
        return [body]

    def collect(self) -> Iterable[Any]:
        """Yield the library's metric families; it calls this at each scrape."""
        families = _library("prometheus_client.metrics_core")
        for metric in self.source():
            match metric:
                case HistogramMetric():
                    yield _histogram_family(families, metric)
                case LabelledCounter():
                    yield _labelled_family(families, metric)
                case _:
                    yield _family(families, metric)

    def text(self) -> bytes:
        """Return the page."""
        library = _library("prometheus_client")
        if self._registry is None:
            self._registry = library.CollectorRegistry()
            self._registry.register(self)
        page: bytes = library.generate_latest(self._registry)
        return page


def _family(families: ModuleType, metric: Metric) -> Any:
    kind = families.CounterMetricFamily if metric.is_counter else families.GaugeMetricFamily
    labels = [metric.label] if metric.label else None
    family = kind(NAME_PREFIX + metric.name, metric.description, labels=labels)
    for label, value in metric.values.items():
        family.add_metric([label] if metric.label else [], value)
    return family


def _labelled_family(families: ModuleType, metric: LabelledCounter) -> Any:
    family = families.CounterMetricFamily(
        NAME_PREFIX + metric.name, metric.description, labels=metric.labels
    )
    for labels, value in metric.values.items():
        family.add_metric(labels, value)
    return family


def _histogram_family(families: ModuleType, metric: HistogramMetric) -> Any:
    family = families.HistogramMetricFamily(NAME_PREFIX + metric.name, metric.description)
    buckets = [("+Inf" if bound == inf else str(bound), count) for bound, count in metric.buckets]
    family.add_metric([], buckets, metric.sum)
    return family


def _library(name: str) -> ModuleType:
    """Return a module of the client library, imported when it is first needed.

    It takes TLS classes from modules that may have been loaded without TLS here
    (`common/import_guard.py`), so these are loaded anew.
    """
    if "prometheus_client" not in sys.modules:
        for loaded_without_tls in ("http.client", "urllib.request"):
            sys.modules.pop(loaded_without_tls, None)
    __import__(name)
    return sys.modules[name]
