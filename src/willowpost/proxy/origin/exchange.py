"""One request to one address over HTTP/1.1: connect, send, read and check the response.

docs/design/control/exchange.md lists the failures and what is reported of each.
"""

import contextlib
import struct
import time
from enum import Enum

from gevent import socket

from willowpost.proxy.origin.answer import Echo, WholeAnswer
from willowpost.proxy.origin.answer_reader import AnswerReader
from willowpost.proxy.origin.failure import ExchangeFailure
from willowpost.proxy.origin.framing import request_head
from willowpost.proxy.origin.instance_check import BYTES_MOST, InstanceCheck
from willowpost.shell.connecting import connected
from willowpost.shell.parsing import HTTPParseError

CONNECT_SECONDS = 1.0
BLOCK = 64 * 1024
# The kernel ends a connection whose bytes the other side has not acknowledged for so long: what a
# cut holds up must not arrive at any later time. The retry budget counts on it (budget.py).
UNACKNOWLEDGED_MOST_MS = 3000
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Phase(Enum):
    """How far an exchange has come."""

    CONNECT = "connect"
    INSTANCE_CHECK = "instance_check"
    SEND = "send"
    READ = "read"
    DONE = "done"


class Exchange:
    """One request on one connection.

    run() returns a checked response to this very request or raises ExchangeFailure, which says
    whether a byte may have left.

    Args:
        address: Where to connect.
        connection: An open connection to reuse, or None to connect.
    """

    def __init__(self, address: str, connection=None):
        self.address = address
        self.connection = connection
        self.phase = Phase.CONNECT if connection is None else Phase.SEND
        self.reusable = False
        self.reused = connection is not None
        # the connection broke while the request was sent
        self.broken: OSError | None = None
        # what the answer said of how long an idle connection is kept
        self.keep: str | None = None

    def connect(self, seconds: float = CONNECT_SECONDS) -> None:
        """Opens a new connection within `seconds`.

        Raises:
            ExchangeFailure: It could not be opened; nothing was sent.
        """
        try:
            self.connection = connected(self.address, min(seconds, CONNECT_SECONDS))
            self.connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MOST_MS
            )
        except (OSError, ValueError, OverflowError) as problem:
            raise ExchangeFailure(
                f"connect: {problem}",
                sent=False,
                died=isinstance(problem, ConnectionRefusedError),
                silent=isinstance(problem, TimeoutError),
            )
        self.phase = Phase.SEND

    def instance_check(self, instance_check: InstanceCheck, seconds: float) -> None:
        """Checks which process answers on this connection; no byte of the request is sent.

        Raises:
            ExchangeFailure: It is not the registered process, it is not sound, or the check failed.
        """
        self.phase = Phase.INSTANCE_CHECK
        asked = request_head(
            "GET", instance_check.path, [("host", self.address), ("via", "1.1 willowpost")], b""
        )
        answer = self._asked("GET", asked, seconds, BYTES_MOST, False, None)
        instance_check.judge(answer)
        if answer.rest is not None or not self.reusable:
            raise ExchangeFailure("instance check: does not keep the connection", sent=False)
        self.phase, self.reusable = Phase.SEND, False

    def run(
        self,
        method: str,
        target: str,
        headers: list,
        body: bytes,
        seconds: float,
        whole_max: int,
        echo: Echo | None = None,
    ) -> WholeAnswer:
        """Sends the request once and waits at most `seconds` for its answer.

        Bodies over `whole_max` bytes come as the answer's `rest`.

        Raises:
            ExchangeFailure: there is no whole answer to this request.
        """
        asked = request_head(method, target, headers, body) + body
        return self._asked(method, asked, seconds, whole_max, True, echo)

    def close(self) -> None:
        """Ends the connection; it is not used again.

        One that is given up before the whole answer came is reset: an orderly close would leave the
        kernel to deliver a request, perhaps much later, whose caller has had its final answer.
        """
        self.reusable = False
        if self.connection is not None:
            if self.phase is not Phase.DONE:
                with contextlib.suppress(OSError):
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.connection.close()
            self.connection = None

    def _asked(self, method, asked, seconds, whole_max, sent, echo):
        self.until = time.monotonic() + seconds
        try:
            self._send(asked, seconds)
            self.phase = Phase.READ if sent else self.phase
            return self._answer(method, whole_max, echo)
        except (OSError, HTTPParseError, ValueError) as problem:
            died = self.reused and isinstance(problem, ConnectionError)
            late = isinstance(problem, TimeoutError)
            raise ExchangeFailure(
                f"{self.phase.value}: {'deadline' if late else problem}",
                sent=sent,
                died=died,
                silent=late,
            )

    def _send(self, asked, seconds):
        """Sends the request; a broken connection is noted, since a response may have come first."""
        self.connection.settimeout(seconds)
        try:
            self.connection.sendall(asked)
        except ConnectionError as problem:
            self.broken = problem

    def _answer(self, method, whole_max, echo):
        reader = AnswerReader(self)
        try:
            return reader.read(method, whole_max, echo)
        except (OSError, HTTPParseError, ValueError):
            if self.broken is None:
                raise
        raise self.broken

    def ended(self, reusable: bool, keep: str | None) -> None:
        """Notes a complete response: whether the connection can be reused, and its Keep-Alive."""
        self.phase = Phase.DONE
        self.reusable, self.keep = reusable, keep

    def receive(self) -> bytes:
        """The next bytes, empty at the connection's end.

        Raises:
            TimeoutError: The deadline has passed.
        """
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError("deadline")
        self.connection.settimeout(left)
        return self.connection.recv(BLOCK)
