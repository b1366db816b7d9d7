"""Addresses of the form `host:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address.

    Raises:
        ValueError: it has no port.
    """
    host, port = address.rsplit(":", 1)
    return host, int(port)
