"""The metrics that every daemon has of its replicated tables."""

from collections.abc import Iterable

from willowpost.shell.metrics import Metric, gauge
from willowpost.state.tables import Tables


def log_metrics(tables: Tables) -> Iterable[Metric]:
    """Yields how far a daemon's tables are."""
    yield gauge("log_slot", "The slot that the tables have.", tables.slot)
    yield gauge("log_epoch", "The epoch that the tables have.", tables.epoch)
    yield gauge(
        "configuration_version",
        "The configuration's version by the tables.",
        tables.configuration.version,
    )
