"""Connections to numeric addresses, without a resolver: gevent asks one in a thread."""

from gevent import socket

from willowpost.shell.mesh import split


def connected(address: str, seconds: float):
    """A connection to `address` (host:port) that sends without delay, made within `seconds`.

    Raises:
        OSError: nobody takes it, or not in time (TimeoutError).
        ValueError, OverflowError: it is no address.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(seconds)
        connection.connect(split(address))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        connection.close()
        raise
    return connection
