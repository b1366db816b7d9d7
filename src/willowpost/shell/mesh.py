"""Framed TCP between the processes of a fleet: one outgoing connection and task per peer."""

import struct
import time
import zlib

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from willowpost.common.events import Received
from willowpost.shell.sized_queue import SizedQueue
from willowpost.wire.codec import Codec

HEAD = struct.Struct("!II")  # length and checksum
FRAME_MOST = 64 * 1024 * 1024
QUEUE_MOST = 1024
QUEUE_BYTES_MOST = 8 * 1024 * 1024  # to one peer; a larger frame leaves when it is alone
# To all peers together, whatever their number. Frames up to SMALL_FRAME are not held back by it.
QUEUES_BYTES_MOST = 32 * 1024 * 1024
SMALL_FRAME = 4096
# A frame that waited for so long is dropped: a bound in bytes alone is many seconds on a thin link,
# and what a peer learns from answers to its old questions is old.
QUEUED_MOST_SECONDS = 1.0
BATCH_BYTES = 64 * 1024  # frames are joined up to this: what is handed to the kernel leaves
CONNECT_SECONDS = 0.5
BACKOFF_SECONDS = 0.1
# sent and not acknowledged for so long: the connection is given up, and the next frame opens
# another
HELD_MOST_MS = 1000
IDLE_SECONDS = 30


def split(address: str) -> tuple[str, int]:
    """The host and port of an address `host:port`; ValueError if it has no port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Mesh:
    """Sends and receives messages.

    Messages to one peer leave in order. A message that cannot leave soon is dropped and not kept
    for later, neither here nor by the kernel, whose retransmission pauses may outlast the partition
    or power loss that began them. A received message that finds the node's inbox full is dropped as
    well. Only whole frames with the right checksum reach the node; anything else ends the
    connection.

    Args:
        address: This process's `host:port`.
        inbox: The queue of the node's events.
    """

    def __init__(self, address: str, inbox):
        self.address = address
        self.inbox = inbox
        self.codec = Codec()
        self.lines: dict[str, SizedQueue] = {}
        self.server = StreamServer(split(address), self._serve, spawn=Pool(512))
        self.encoded = (None, b"")

    def start(self) -> None:
        """Begins to accept connections."""
        self.server.start()

    def stop(self) -> None:
        """Stops accepting connections and ends the incoming ones."""
        self.server.stop()

    def send(self, address: str, message) -> None:
        """Queues a message to a peer, or drops it if the queue is full; never blocks."""
        if address == self.address:
            self.inbox.put(Received(address, message))
            return
        line = self.lines.get(address)
        if line is None:
            line = self.lines[address] = SizedQueue(QUEUE_MOST, QUEUE_BYTES_MOST)
            gevent.spawn(self._drive, address, line)
        if self.encoded[0] is not message:
            frame = self.codec.encode(self.address, message)
            self.encoded = (message, HEAD.pack(len(frame), zlib.crc32(frame)) + frame)
        frame = self.encoded[1]
        if len(frame) <= SMALL_FRAME or self.queued_bytes() + len(frame) <= QUEUES_BYTES_MOST:
            line.offer((time.monotonic(), frame), len(frame))

    def queued_bytes(self) -> int:
        """The size of all frames that wait for their connection."""
        return sum(line.bytes for line in self.lines.values())

    def _drive(self, address, line):
        connection = None
        while True:
            try:
                first = line.get(timeout=IDLE_SECONDS)
            except gevent.queue.Empty:
                break
            if connection is None:
                connection = self._connect(address)
                if connection is None:
                    gevent.sleep(BACKOFF_SECONDS)
                    while not line.empty():
                        line.get_nowait()
                    continue
            try:
                connection.sendall(self._batch(first, line))
            except OSError:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()
        if self.lines.get(address) is line and line.empty():
            del self.lines[address]

    def _batch(self, first, line):
        """The next frames that have not waited for too long, as one piece of about BATCH_BYTES."""
        oldest = time.monotonic() - QUEUED_MOST_SECONDS
        frames, size, item = [], 0, first
        while True:
            since, frame = item
            if since >= oldest:
                frames.append(frame)
                size += len(frame)
            if line.empty() or size >= BATCH_BYTES:
                return b"".join(frames)
            item = line.get_nowait()

    def _connect(self, address):
        connection = None
        try:
            # create_connection asks a resolver, in a thread
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.settimeout(CONNECT_SECONDS)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, HELD_MOST_MS)
            connection.connect(split(address))
        # nobody there, no handle left, or not an address
        except (OSError, ValueError, OverflowError):
            if connection is not None:
                connection.close()
            return None
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(5.0)
        return connection

    def _serve(self, connection, _):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb", buffering=65536)
        try:
            while True:
                head = stream.read(HEAD.size)
                if len(head) < HEAD.size:
                    return
                size, checksum = HEAD.unpack(head)
                if size > FRAME_MOST:
                    return
                frame = stream.read(size)
                if len(frame) < size or zlib.crc32(frame) != checksum:
                    return
                self.inbox.offer(Received(*self.codec.decode(frame)), size)
        except Exception:  # what reading junk as tables may raise has no end
            return  # junk, or cut off: its sender will repeat it
        finally:
            stream.close()
            connection.close()
