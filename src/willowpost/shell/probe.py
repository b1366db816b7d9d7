"""One GET on a connection of its own: whether anybody answers, and with which status.

Nothing is repeated, followed or kept: geventhttpclient's client sends a request again, up to three
times, on a connection that closes without an answer.
"""

import time

from willowpost.shell.connecting import connected
from willowpost.shell.parsing import HTTPParseError, HTTPResponseParser

BLOCK = 4096
HEAD_MOST = 64 * 1024
FINAL = 200  # statuses below are interim


class _StatusParser(HTTPResponseParser):
    """Knows the status of the first answer that is not interim."""

    def __init__(self):
        super().__init__()
        self.status: int | None = None

    def _on_headers_complete(self):
        code = self.get_code()
        if self.status is None and code >= FINAL:
            self.status = code
        return True  # no body is wanted

    def _on_message_begin(self):
        pass

    def _on_status(self, text):
        pass

    def _on_header_field(self, text):
        pass

    def _on_header_value(self, text):
        pass

    def _on_body(self, data):
        pass

    def _on_message_complete(self):
        pass


def probe_status(address: str, path: str, seconds: float) -> int | None:
    """The status of GET `path` at `address` (host:port), or None without one in `seconds`."""
    until = time.monotonic() + seconds
    try:
        connection = connected(address, seconds)
    except (OSError, ValueError, OverflowError):
        return None
    try:
        request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        connection.sendall(request.encode("latin-1"))
        return _status(connection, until)
    except (OSError, ValueError, HTTPParseError):
        return None
    finally:
        connection.close()


def _status(connection, until) -> int | None:
    parser, size = _StatusParser(), 0
    while parser.status is None and size <= HEAD_MOST:
        connection.settimeout(max(0.001, until - time.monotonic()))
        data = connection.recv(BLOCK)
        if not data:
            break
        size += len(data)
        try:
            parser.feed(data)
        except HTTPParseError:  # after the head, it does not matter what comes
            break
    return parser.status
