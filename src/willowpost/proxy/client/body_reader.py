"""Reads the body of a client's request into memory that is granted before it is read."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from willowpost.common.clock import SECOND
from willowpost.common.errors import WillowpostError
from willowpost.common.memory_budget import MemoryClaim, MemoryExhaustedError
from willowpost.common.memory_pool import PooledMemory
from willowpost.proxy.client.chunked_body import ChunkedBody
from willowpost.proxy.client.connection_reader import ConnectionReader
from willowpost.proxy.client.request_head import ClientRequestHead
from willowpost.proxy.client.response_queue import INTERIM_RESPONSE
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.request_memory import SMALL_BODY_BYTES, RequestMemory
from willowpost.shell.memory_wait import grow_claim
from willowpost.shell.web import BodyTooLargeError

BLOCK_BYTES = 256 * 1024
SILENCE_TIMEOUT_SECONDS = 30.0
SILENCE_CHECK_SECONDS = 0.5
# While others wait for memory, a body must come at a pace that completes it within this time.
CONTENDED_TRANSFER_SECONDS = 10.0
CONTENDED_GRACE_SECONDS = 1.0


class SlowBodyError(WillowpostError):
    """A body comes too slowly while others wait for the memory that it takes."""


class BytesSource(Protocol):
    """Where a body's bytes come from."""

    def read_into(self, view: memoryview) -> int:
        """Receives bytes into a buffer; returns how many, 0 at the end."""


@dataclass(frozen=True, slots=True)
class ReceivedBody:
    """A body that was read completely.

    Attributes:
        body: The body; its memory is to be given back.
        waited_us: How long this proxy had the client wait for memory, in µs.
    """

    body: RequestBody
    waited_us: int


class BodyReader:
    """Reads one body; a client whose body waits for memory is not read, so TCP holds it up.

    Args:
        connection: The client's socket.
        reader: Reads the connection.
        memory: The memory of requests.
        clock: A clock in seconds.
    """

    def __init__(
        self,
        connection: Any,
        reader: ConnectionReader,
        memory: RequestMemory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._connection, self._reader, self._memory = connection, reader, memory
        self._clock = clock
        self._claim: MemoryClaim | PooledMemory = PooledMemory(memory.small_bodies)
        self._wait_seconds_left = 0.0
        self._waited_seconds = 0.0
        self._began_at = 0.0
        self._received = 0  # bytes

    def read(
        self, head: ClientRequestHead, max_bytes: int, max_wait_seconds: float
    ) -> ReceivedBody:
        """Reads a request's complete body; a client that expects a 100 gets it first.

        Args:
            head: The request's head.
            max_bytes: The largest body.
            max_wait_seconds: How long it may wait for memory, all waits together.

        Raises:
            BodyTooLargeError: The body is larger.
            EOFError: The body ended short.
            MemoryExhaustedError: There was no memory for it in time.
            OSError: The connection broke, or the client was silent for too long.
            SlowBodyError: It came too slowly while others waited for its memory.
            ValueError: The chunks are malformed.
        """
        if head.length is not None and head.length > max_bytes:
            raise BodyTooLargeError
        self._wait_seconds_left = max_wait_seconds
        try:
            if head.length is not None:
                body = self._read_sized(head, head.length)
            else:
                body = self._read_chunked(head, max_bytes)
        except BaseException:
            self._claim.release()
            raise
        self._claim.settle(body.length)
        return ReceivedBody(body, int(self._waited_seconds * SECOND))

    def _read_sized(self, head: ClientRequestHead, length: int) -> RequestBody:
        if length > SMALL_BODY_BYTES:
            self._claim = self._memory.large_bodies.open(length)
        self._grow(length)
        self._begin(head)
        blocks: list[bytearray] = []
        while self._received < length:
            block = bytearray(min(BLOCK_BYTES, length - self._received))
            if self._fill(self._reader, block) < len(block):
                raise EOFError
            blocks.append(block)
        return RequestBody(blocks, self._claim)

    def _read_chunked(self, head: ClientRequestHead, max_bytes: int) -> RequestBody:
        """Reads a body whose length shows at its end.

        It is a small one until it is seen to be larger; then what it takes doubles at each step.
        """
        # one byte more has to fit as well, since it shows that a body is too large
        max_bytes = min(max_bytes, self._memory.largest_body_bytes - 1)
        self._grow(SMALL_BODY_BYTES)
        self._begin(head)
        source = ChunkedBody(self._reader)
        blocks: list[bytearray] = []
        while True:
            block = bytearray(min(BLOCK_BYTES, self._claim.held - self._received))
            count = self._fill(source, block)
            blocks.append(block if count == len(block) else block[:count])
            if self._received > max_bytes:
                raise BodyTooLargeError
            if count < len(block):
                return RequestBody(blocks, self._claim)
            if self._received == self._claim.held:
                self._grow_chunked(max_bytes)

    def _grow_chunked(self, max_bytes: int) -> None:
        """Takes more memory for a body that fills what it has."""
        most = max_bytes + 1
        if self._received == SMALL_BODY_BYTES:
            small_claim = self._claim
            self._claim = self._memory.large_bodies.open(most)
            try:
                self._grow(min(2 * self._received, most))
            finally:
                small_claim.release()
            return
        self._grow(min(self._received, most - self._received))

    def _begin(self, head: ClientRequestHead) -> None:
        self._began_at = self._clock() - self._waited_seconds
        if head.headers.get("expect", "").lower() == "100-continue":
            self._connection.settimeout(SILENCE_TIMEOUT_SECONDS)
            self._connection.sendall(INTERIM_RESPONSE)
        self._connection.settimeout(SILENCE_CHECK_SECONDS)

    def _grow(self, size: int) -> None:
        if isinstance(self._claim, PooledMemory):
            if not self._claim.take(size):
                raise MemoryExhaustedError("no memory left for small bodies")
            return
        started_at = self._clock()
        try:
            grow_claim(self._claim, size, self._wait_seconds_left)
        finally:
            waited = self._clock() - started_at
            self._waited_seconds += waited
            self._wait_seconds_left = max(0.0, self._wait_seconds_left - waited)

    def _fill(self, source: BytesSource, block: bytearray) -> int:
        """Fills a block; returns the bytes received, fewer only at the end."""
        filled = 0
        with memoryview(block) as view:
            while filled < len(block) and (count := self._receive(source, view[filled:])):
                filled += count
        return filled

    def _receive(self, source: BytesSource, view: memoryview) -> int:
        """Receives bytes; the connection's short timeout is for checks in between.

        Raises:
            SlowBodyError: The body comes too slowly while others wait.
            TimeoutError: The client was silent for too long.
        """
        silent_until = self._clock() + SILENCE_TIMEOUT_SECONDS
        while True:
            self._check_pace()
            try:
                count = source.read_into(view)
            except TimeoutError:
                if self._clock() >= silent_until:
                    raise
                continue
            self._received += count
            return count

    def _check_pace(self) -> None:
        if not self._claim.is_wanted_by_others:
            return
        seconds = self._clock() - self._began_at - self._waited_seconds
        expected = (
            self._claim.held * (seconds - CONTENDED_GRACE_SECONDS) / CONTENDED_TRANSFER_SECONDS
        )
        if self._received < expected:
            raise SlowBodyError
