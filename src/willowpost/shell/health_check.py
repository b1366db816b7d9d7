"""A health check's HTTP client: one GET on a connection of its own.

Nothing is retried, redirected or pooled: geventhttpclient's client sends a request again, up to
three times, on a connection that closes without a response.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass

from gevent import socket

from willowpost.shell.http_parser import HTTPParseError
from willowpost.shell.response_parser import ResponseParser
from willowpost.shell.tcp_client import open_connection

READ_BYTES = 4096
MAX_HEAD_BYTES = 64 * 1024
TOKEN_HEADER = "wp-token"  # names the incarnation that answers
MIN_TIMEOUT_SECONDS = 0.001  # a time-out of 0 would make the socket non-blocking


@dataclass(frozen=True, slots=True)
class HealthResponse:
    """The head of the response to a health check.

    Attributes:
        status: the status code.
        headers: by name in lower case; of several of one name, the last.
    """

    status: int
    headers: Mapping[str, str]


def fetch_health(address: str, path: str, timeout_seconds: float) -> HealthResponse | None:
    """Return the response to GET `path` at `address` (host:port); None without one in time."""
    deadline = time.monotonic() + timeout_seconds
    try:
        connection = open_connection(address, timeout_seconds)
    except (OSError, ValueError, OverflowError):
        return None
    try:
        request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        connection.sendall(request.encode("latin-1"))
        return _read_head(connection, deadline)
    except (OSError, ValueError, HTTPParseError):
        return None
    finally:
        connection.close()


def _read_head(connection: socket.socket, deadline: float) -> HealthResponse | None:
    parser = ResponseParser("GET")
    received_bytes = 0
    while not parser.has_final_head and received_bytes <= MAX_HEAD_BYTES:
        connection.settimeout(max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic()))
        data = connection.recv(READ_BYTES)
        if not data:
            break
        received_bytes += len(data)
        try:
            parser.parse(data)
        except HTTPParseError:  # after the head, it does not matter what comes
            break
    if not parser.has_final_head:
        return None
    return HealthResponse(parser.status, {name: value.strip() for name, value in parser.headers})
