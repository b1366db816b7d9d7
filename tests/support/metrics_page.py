"""Reads a metrics page."""

from willowpost.shell.metrics import NAME_PREFIX, MetricsPage


def value_of(page: MetricsPage, name: str) -> float:
    """Returns the value of a metric.

    Args:
        page: The page.
        name: Its name without the product's prefix, with its label if it has one.

    Raises:
        LookupError: The page has no such metric.
    """
    for line in page.text().decode().splitlines():
        if line.startswith(f"{NAME_PREFIX}{name} "):
            return float(line.rpartition(" ")[2])
    raise LookupError(name)
