"""Reads a metrics page."""

from gevent import socket

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


def fetch(port: int) -> bytes:
    """Returns the whole response of a page that is served at this port of the loopback address."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
        client.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        received = b""
        while block := client.recv(65536):
            received += block
    return received
