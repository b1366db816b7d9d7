"""Reads the body of a client's request."""

from typing import Any

from willowpost.proxy.caller.connection_reader import ConnectionReader
from willowpost.proxy.caller.request_head import ClientRequestHead
from willowpost.proxy.caller.response_queue import INTERIM_RESPONSE
from willowpost.shell.web import BodyTooLarge, Input

BODY_TIMEOUT_SECONDS = 30.0  # of each read


def read_body(
    connection: Any, reader: ConnectionReader, head: ClientRequestHead, max_bytes: int
) -> bytes:
    """Reads a request's complete body; a client that expects a 100 gets it first.

    Args:
        connection: The client's socket.
        reader: Reads the connection.
        head: The request's head.
        max_bytes: The largest body.

    Raises:
        BodyTooLarge: The body is larger.
        EOFError: The body ended short.
        OSError: The connection broke, or the client was silent for too long.
        ValueError: The chunks are malformed.
    """
    if head.length is not None and head.length > max_bytes:
        raise BodyTooLarge
    connection.settimeout(BODY_TIMEOUT_SECONDS)
    if head.headers.get("expect", "").lower() == "100-continue":
        connection.sendall(INTERIM_RESPONSE)
    if head.length is not None:
        body = reader.read(head.length)
        if len(body) < head.length:
            raise EOFError
        return body
    chunked_body: bytes = Input(reader, None, chunked_input=True).read(max_bytes + 1)
    if len(chunked_body) > max_bytes:
        raise BodyTooLarge
    return chunked_body
