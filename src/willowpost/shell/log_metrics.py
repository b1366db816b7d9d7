"""The metrics that every daemon has of its replicated tables."""

from collections.abc import Iterable

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
