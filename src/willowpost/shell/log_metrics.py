"""The metrics that every daemon has of its replicated tables."""

from collections.abc import Iterable, Mapping

from willowpost.common.clock import SECOND
from willowpost.shell.metrics import Metric, gauge
from willowpost.state.tables import Tables


def log_metrics(tables: Tables, age: int | None = None) -> Iterable[Metric]:
    """Yields how far a daemon's tables are.

    Args:
        tables: The tables.
        age: Since when they were known to be complete, in µs; None: not known, or of no meaning.
    """
    yield gauge("log_slot", "The slot that the tables have.", tables.slot)
    yield gauge("log_epoch", "The epoch that the tables have.", tables.epoch)
    yield gauge(
        "configuration_version",
        "The configuration's version by the tables.",
        tables.configuration.version,
    )
    if age is not None:
        yield gauge("tables_age_seconds", "The age of the tables.", age / SECOND)


def violation_metric(violations: Mapping[str, int]) -> Metric:
    """Returns the counter of violated invariants, by their names."""
    return Metric(
        "invariant_violations",
        "How often an invariant that is checked while the process runs was violated.",
        {name: float(count) for name, count in violations.items()},
        "invariant",
        is_counter=True,
    )
