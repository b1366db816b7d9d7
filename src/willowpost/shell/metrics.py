"""The figures of a process as text, in the format of Prometheus.

The client library is imported at the first fetch: it costs megabytes, and most processes are never
asked.
"""

import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf
from types import ModuleType
from typing import Any

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure, or several told apart by one label.

    Attributes:
        name: Its name, without the product's prefix.
        text: What it counts, and in which unit.
        values: Label value to figure; "" for one without a label.
        label: The label's name.
        total: Whether it only grows.
    """

    name: str
    text: str
    values: dict[str, float]
    label: str = ""
    total: bool = False


@dataclass(frozen=True, slots=True)
class HistogramFigure:
    """A histogram.

    Attributes:
        name: Its name, without the product's prefix.
        text: What it counts, and in which unit.
        buckets: (upper bound, how many were at most that), the last bound being infinite.
        total: The sum of what was counted.
    """

    name: str
    text: str
    buckets: list[tuple[float, int]] = field(default_factory=list)
    total: float = 0.0


Figures = Callable[[], Iterable[Figure | HistogramFigure]]


class MetricsPage:
    """A WSGI application that tells a process's figures, whatever the path.

    Args:
        figures: Gives the figures as they are now.
    """

    in_flight = 0

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self._registry: Any = None

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answers one WSGI request."""
        body = self.text()
        start_response(
            "200 OK", [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        )
        return [body]

    def collect(self) -> Iterable[Any]:
        """The figures as the library's metric families; it calls this at each fetch."""
        families = _library("prometheus_client.metrics_core")
        for figure in self.figures():
            if isinstance(figure, HistogramFigure):
                family = families.HistogramMetricFamily(f"willowpost_{figure.name}", figure.text)
                buckets = [
                    ("+Inf" if bound == inf else str(bound), count)
                    for bound, count in figure.buckets
                ]
                family.add_metric([], buckets, figure.total)
            else:
                kind = families.CounterMetricFamily if figure.total else families.GaugeMetricFamily
                labels = [figure.label] if figure.label else None
                family = kind(f"willowpost_{figure.name}", figure.text, labels=labels)
                for label, value in figure.values.items():
                    family.add_metric([label] if figure.label else [], value)
            yield family

    def text(self) -> bytes:
        """The page."""
        library = _library("prometheus_client")
        if self._registry is None:
            self._registry = library.CollectorRegistry()
            self._registry.register(self)
        page: bytes = library.generate_latest(self._registry)
        return page


def _library(name: str) -> ModuleType:
    """A module of the client library, imported when it is first needed.

    It takes TLS classes from modules that may have been loaded without TLS here (`common.lean`), so
    these are loaded anew.
    """
    if "prometheus_client" not in sys.modules:
        for loaded_without_tls in ("http.client", "urllib.request"):
            sys.modules.pop(loaded_without_tls, None)
    __import__(name)
    return sys.modules[name]
