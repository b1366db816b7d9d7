"""One request to one address over HTTP/1.1: connect, send, read and check the response.

docs/design/control/exchange.md lists the failures and what is reported of each.
"""

import contextlib
import struct
import time
from enum import Enum
from typing import Any

import gevent
from gevent import socket

from willowpost.common.memory_pool import PooledMemory
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.instance_check import MAX_CHECK_BODY_BYTES, InstanceCheck
from willowpost.proxy.origin.request import OriginRequest
from willowpost.proxy.origin.response import OriginResponse, RequestIdEcho
from willowpost.proxy.origin.response_buffering import ResponseBuffering
from willowpost.proxy.origin.response_reader import ResponseReader
from willowpost.shell.http_parser import HTTPParseError
from willowpost.shell.tcp_client import open_connection

CONNECT_TIMEOUT_SECONDS = 1.0
RECEIVE_BYTES = 64 * 1024
# The kernel ends a connection whose bytes the other side has not acknowledged for so long: what a
# network partition delays must not arrive at any later time. The retry budget counts on it
# (docs/design/retry-budget.md).
TCP_USER_TIMEOUT_MS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Phase(Enum):
    """How far an exchange has come."""

    CONNECT = "connect"
    INSTANCE_CHECK = "instance_check"
    SEND = "send"
    READ = "read"
    DONE = "done"


class Exchange:
    """One request on one connection.

    run() returns a checked response to this very request or raises ExchangeError, which states
    whether a byte may have left.

    Args:
        address: Where to connect, host:port.
        connection: An open connection to reuse, or None to connect.

    Attributes:
        connection: The open connection, or None.
        phase: How far the exchange has come.
        is_reused: Whether the connection was opened for an earlier request.
        is_reusable: Whether the connection may serve another request.
        keep_alive: The response's Keep-Alive header, or None.
        send_error: The error that broke the connection while the request was sent, or None.
    """

    def __init__(self, address: str, connection: Any = None) -> None:
        self.address = address
        self.connection = connection
        self.phase = Phase.CONNECT if connection is None else Phase.SEND
        self.is_reusable = False
        self.is_reused = connection is not None
        self.keep_alive: str | None = None
        self.send_error: OSError | None = None
        self._deadline_seconds = 0.0  # by time.monotonic()

    def connect(self, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS) -> None:
        """Opens a new connection within `timeout_seconds`, one second at most.

        Raises:
            ExchangeError: It could not be opened; nothing was sent.
        """
        try:
            self.connection = open_connection(
                self.address, min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
            )
            self.connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except (OSError, ValueError, OverflowError) as problem:
            raise ExchangeError(
                f"connect: {problem}",
                was_sent=False,
                is_process_gone=isinstance(problem, ConnectionRefusedError),
                timed_out=isinstance(problem, TimeoutError),
            ) from problem
        self.phase = Phase.SEND

    def check_instance(self, instance_check: InstanceCheck, timeout_seconds: float) -> None:
        """Checks which process answers on this connection; no byte of the request is sent.

        Raises:
            ExchangeError: It is not the registered process, it is unhealthy, or the check failed.
        """
        self.phase = Phase.INSTANCE_CHECK
        headers = [("host", self.address), ("via", "1.1 willowpost")]
        request = OriginRequest("GET", instance_check.path, headers)
        response = self._exchange(request, timeout_seconds, ResponseBuffering(MAX_CHECK_BODY_BYTES))
        instance_check.verify(response)
        if response.stream is not None or not self.is_reusable:
            raise ExchangeError("instance check: does not keep the connection", was_sent=False)
        self.phase, self.is_reusable = Phase.SEND, False

    def run(
        self,
        request: OriginRequest,
        timeout_seconds: float,
        max_buffered_bytes: int,
        echo: RequestIdEcho | None = None,
        memory: PooledMemory | None = None,
    ) -> OriginResponse:
        """Sends the request once and waits for its response.

        Args:
            request: The request.
            timeout_seconds: How long the exchange may take.
            max_buffered_bytes: A larger body comes as the response's `stream`.
            echo: The request id that the response must carry, or None.
            memory: What a buffered body takes; one that finds no memory comes as `stream`, too.

        Raises:
            ExchangeError: There is no complete response to this request.
        """
        buffering = ResponseBuffering(max_buffered_bytes, memory or PooledMemory())
        return self._exchange(request, timeout_seconds, buffering, echo)

    def close(self) -> None:
        """Closes the connection.

        One that is abandoned before the complete response came is reset: an orderly close would
        leave the kernel to deliver a request, perhaps much later, whose caller has had its final
        reply.
        """
        self.is_reusable = False
        if self.connection is not None:
            if self.phase is not Phase.DONE:
                with contextlib.suppress(OSError):
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.connection.close()
            self.connection = None

    def receive(self) -> bytes:
        """Returns the next bytes, empty at the connection's end.

        Raises:
            TimeoutError: The deadline has passed.
        """
        self.connection.settimeout(self._seconds_left())
        data: bytes = self.connection.recv(RECEIVE_BYTES)
        return data

    def _seconds_left(self) -> float:
        """Returns the seconds until the deadline.

        Raises:
            TimeoutError: It has passed.
        """
        seconds_left = self._deadline_seconds - time.monotonic()
        if seconds_left <= 0:
            raise TimeoutError("deadline")
        return seconds_left

    def complete(self, is_reusable: bool, keep_alive: str | None) -> None:
        """Takes notice of a complete response: whether its connection can be reused."""
        self.phase = Phase.DONE
        self.is_reusable, self.keep_alive = is_reusable, keep_alive

    def _exchange(
        self,
        request: OriginRequest,
        timeout_seconds: float,
        buffering: ResponseBuffering,
        echo: RequestIdEcho | None = None,
    ) -> OriginResponse:
        is_check = self.phase is Phase.INSTANCE_CHECK
        self._deadline_seconds = time.monotonic() + timeout_seconds
        try:
            self._send(request)
            self.phase = self.phase if is_check else Phase.READ
            return self._read(request.method, buffering, echo)
        except (OSError, HTTPParseError, ValueError) as problem:
            is_late = isinstance(problem, TimeoutError)
            raise ExchangeError(
                f"{self.phase.value}: {'deadline' if is_late else problem}",
                was_sent=not is_check,
                is_process_gone=self.is_reused and isinstance(problem, ConnectionError),
                timed_out=is_late,
            ) from problem

    def _send(self, request: OriginRequest) -> None:
        """Sends the request; a broken connection is noted, since a response may have come first.

        Other tasks run between the blocks, however fast the other side reads.
        """
        try:
            for number, block in enumerate(request.serialize()):
                if number:
                    gevent.sleep(0)
                self.connection.settimeout(self._seconds_left())
                self.connection.sendall(block)
        except ConnectionError as problem:
            self.send_error = problem
        request.body.offer()

    def _read(
        self, method: str, buffering: ResponseBuffering, echo: RequestIdEcho | None
    ) -> OriginResponse:
        reader = ResponseReader(self)
        try:
            return reader.read(method, buffering, echo)
        except (OSError, HTTPParseError, ValueError):
            if self.send_error is None:
                raise
        raise self.send_error
