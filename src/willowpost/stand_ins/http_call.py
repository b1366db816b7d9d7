"""One HTTP call with a JSON body, by a caller that takes no answer for an answer."""

import json
from typing import Any

from geventhttpclient import HTTPClient

from willowpost.shell.addresses import split_address

OK, SERVER_ERROR = 200, 500  # RFC 9110, 15.3.1 and 15.6
MAX_CONNECT_SECONDS = 1.0
JSON_TYPE = {"Content-Type": "application/json"}
Reply = tuple[int, dict[str, str], Any]  # status, headers in lower case, JSON value


def ask(
    address: str,
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = 6,
) -> Reply | None:
    """Make one call.

    Args:
        address: `host:port` of the server.
        method: HTTP method.
        path: of the request, with its query.
        value: sent as JSON, bytes as they are; None for no body.
        headers: of the request, besides the content type.
        seconds: how long to wait for the answer.

    Returns:
        The answer, or None when nobody answered.
    """
    client = HTTPClient(
        *split_address(address),
        connection_timeout=min(MAX_CONNECT_SECONDS, seconds),
        network_timeout=seconds,
    )
    try:
        answer = client.request(
            method, path, body=_encoded(value), headers={**JSON_TYPE, **(headers or {})}
        )
        text = answer.read()
        held = {name.lower(): content for name, content in answer.headers}
        return answer.status_code, held, json.loads(text) if text else None
    except Exception:  # whatever the library raises: nobody answered
        return None
    finally:
        client.close()


def _encoded(value: Any) -> bytes:
    if value is None:
        return b""
    return value if isinstance(value, bytes) else json.dumps(value).encode()
