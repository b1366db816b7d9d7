"""A health check's HTTP client: one GET on a connection of its own.

Nothing is retried, redirected or pooled: geventhttpclient's client sends a request again, up to
three times, on a connection that closes without a response.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass

from gevent import socket

from willowpost.shell.http_parser import HTTPParseError, HTTPResponseParser
from willowpost.shell.tcp_client import open_connection

READ_BYTES = 4096
MAX_HEAD_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200  # statuses below are interim
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


class _HeadParser(HTTPResponseParser):  # type: ignore[misc]  # the library has no types
    """Finds the head of the first response that is not interim."""

    def __init__(self) -> None:
        super().__init__()
        self.response: HealthResponse | None = None
        self._fields: list[tuple[str, str]] = []
        self._is_in_name = False

    def _on_headers_complete(self) -> bool:
        status = self.get_code()
        if self.response is None and status >= FIRST_FINAL_STATUS:
            headers = {name.lower(): value.strip() for name, value in self._fields}
            self.response = HealthResponse(status, headers)
        return True  # skip the body

    def _on_message_begin(self) -> None:
        self._fields = []
        self._is_in_name = False

    def _on_status(self, text: bytes) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        """Take a name, or a further part of one."""
        if self._is_in_name:
            name, value = self._fields[-1]
            self._fields[-1] = (name + text, value)
        else:
            self._fields.append((text, ""))
        self._is_in_name = True

    def _on_header_value(self, text: str) -> None:
        """Take the value of the last name, or a further part of it."""
        name, value = self._fields[-1]
        self._fields[-1] = (name, value + text)
        self._is_in_name = False

    def _on_body(self, data: bytes) -> None:
        pass

    def _on_message_complete(self) -> None:
        pass


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
    parser = _HeadParser()
    received_bytes = 0
    while parser.response is None and received_bytes <= MAX_HEAD_BYTES:
        connection.settimeout(max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic()))
        data = connection.recv(READ_BYTES)
        if not data:
            break
        received_bytes += len(data)
        try:
            parser.feed(data)
        except HTTPParseError:  # after the head, it does not matter what comes
            break
    return parser.response
