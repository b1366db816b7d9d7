"""Connections to numeric addresses, without a resolver: gevent calls one in a thread."""

from gevent import socket

from willowpost.shell.addresses import split_address


def open_connection(address: str, timeout_seconds: float) -> socket.socket:
    """Connect to `address` (host:port) within `timeout_seconds`; Nagle's delay is off.

    Raises:
        OSError: the connection is refused, or times out (TimeoutError).
        ValueError: it is no address.
        OverflowError: its port is out of range.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout_seconds)
        connection.connect(split_address(address))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        connection.close()
        raise
    return connection
