"""Framed TCP between the processes of a fleet: one outgoing connection and task per peer."""

import struct
import time
import zlib
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from willowpost.common.events import Received
from willowpost.shell.addresses import split_address
from willowpost.shell.sized_queue import SizedQueue
from willowpost.wire.codec import Codec

FRAME_HEADER = struct.Struct("!II")  # length and checksum
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_QUEUED_FRAMES = 1024  # to one peer
MAX_QUEUE_BYTES = 8 * 1024 * 1024  # to one peer; a larger frame leaves when it is alone
# To all peers together, whatever their number. Frames up to SMALL_FRAME_BYTES are exempt.
MAX_ALL_QUEUES_BYTES = 32 * 1024 * 1024
SMALL_FRAME_BYTES = 4096
# A frame that waited for so long is dropped: a bound in bytes alone is many seconds on a thin link,
# and responses to a peer's old requests are stale.
MAX_QUEUED_SECONDS = 1.0
BATCH_BYTES = 64 * 1024  # frames are joined up to this: what is handed to the kernel leaves
CONNECT_TIMEOUT_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 5.0
RECONNECT_DELAY_SECONDS = 0.1
# Sent and not acknowledged for so long: the connection is closed, and the next frame opens another.
MAX_UNACKNOWLEDGED_MS = 1000
IDLE_TIMEOUT_SECONDS = 30
MAX_INCOMING_CONNECTIONS = 512
READ_BUFFER_BYTES = 65536


@dataclass(frozen=True, slots=True)
class QueuedFrame:
    """A frame that waits for its connection.

    Attributes:
        queued_at: seconds of the monotonic clock.
        data: the frame with its header.
    """

    queued_at: float
    data: bytes


class Mesh:
    """Sends and receives messages.

    Messages to one peer leave in order. A message that cannot leave soon is dropped and not stored
    for later, neither here nor by the kernel, whose retransmission backoff may outlast the
    partition or power loss that caused it. A received message that finds the node's inbox full is
    dropped as well. Only complete frames with the right checksum reach the node; anything else ends
    the connection.

    Args:
        address: this process's `host:port`.
        inbox: the queue of the node's events.
    """

    def __init__(self, address: str, inbox: SizedQueue) -> None:
        self.address = address
        self.inbox = inbox
        self.codec = Codec()
        self.queues: dict[str, SizedQueue] = {}
        self.server = StreamServer(
            split_address(address), self._receive, spawn=Pool(MAX_INCOMING_CONNECTIONS)
        )
        # A message to many peers is encoded once.
        self._last_message: object = None
        self._last_frame = b""

    def start(self) -> None:
        """Start to accept connections."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting connections and end the incoming ones."""
        self.server.stop()

    def send(self, address: str, message: object) -> None:
        """Queue a message to a peer, or drop it if the queue is full; never blocks."""
        if address == self.address:
            self.inbox.put(Received(address, message))
            return
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = SizedQueue(MAX_QUEUED_FRAMES, MAX_QUEUE_BYTES)
            gevent.spawn(self._run_sender, address, queue)
        frame = self._encode(message)
        size = len(frame)
        if size <= SMALL_FRAME_BYTES or self.queued_bytes() + size <= MAX_ALL_QUEUES_BYTES:
            queue.offer(QueuedFrame(time.monotonic(), frame), size)

    def queued_bytes(self) -> int:
        """Return the size of all frames that wait for their connection."""
        return sum(queue.size_bytes for queue in self.queues.values())

    def _encode(self, message: object) -> bytes:
        if self._last_message is not message:
            body = self.codec.encode(self.address, message)
            self._last_message = message
            self._last_frame = FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body
        return self._last_frame

    def _run_sender(self, address: str, queue: SizedQueue) -> None:
        """Send a peer's frames until none came for IDLE_TIMEOUT_SECONDS."""
        connection = None
        while True:
            try:
                first = queue.get(timeout=IDLE_TIMEOUT_SECONDS)
            except gevent.queue.Empty:
                break
            if connection is None:
                connection = _connect(address)
                if connection is None:
                    gevent.sleep(RECONNECT_DELAY_SECONDS)
                    while not queue.empty():
                        queue.get_nowait()
                    continue
            try:
                connection.sendall(_take_batch(first, queue))
            except OSError:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()
        if self.queues.get(address) is queue and queue.empty():
            del self.queues[address]

    def _receive(self, connection: socket.socket, _: object) -> None:
        """Pass the frames of an incoming connection to the node."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb", buffering=READ_BUFFER_BYTES)
        try:
            while True:
                header = stream.read(FRAME_HEADER.size)
                if len(header) < FRAME_HEADER.size:
                    return
                size, checksum = FRAME_HEADER.unpack(header)
                if size > MAX_FRAME_BYTES:
                    return
                frame = stream.read(size)
                if len(frame) < size or zlib.crc32(frame) != checksum:
                    return
                self.inbox.offer(Received(*self.codec.decode(frame)), size)
        # Decoding arbitrary bytes may raise any exception; a reset connection raises OSError.
        except Exception:
            return  # the sender will repeat the message
        finally:
            stream.close()
            connection.close()


def _take_batch(first: QueuedFrame, queue: SizedQueue) -> bytes:
    """Return the next frames that have not waited for too long, joined to about BATCH_BYTES."""
    oldest = time.monotonic() - MAX_QUEUED_SECONDS
    frames: list[bytes] = []
    size = 0
    queued = first
    while True:
        if queued.queued_at >= oldest:
            frames.append(queued.data)
            size += len(queued.data)
        if queue.empty() or size >= BATCH_BYTES:
            return b"".join(frames)
        queued = queue.get_nowait()


def _connect(address: str) -> socket.socket | None:
    """Connect to a peer; None if that fails."""
    connection = None
    try:
        # socket.create_connection would call a resolver, in a thread.
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.settimeout(CONNECT_TIMEOUT_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
        connection.connect(split_address(address))
    # Nobody listens, no handle is left, or it is not an address.
    except (OSError, ValueError, OverflowError):
        if connection is not None:
            connection.close()
        return None
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.settimeout(SEND_TIMEOUT_SECONDS)
    return connection
