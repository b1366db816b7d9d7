"""The cost of a message beyond its coding: queues, tasks, system calls.

It is measured at both ends of one connection over loopback.
"""

from time import process_time_ns

from willowpost.drill.fleet import free_port
from willowpost.shell.mesh import Mesh
from willowpost.shell.sized_queue import create_inbox
from willowpost.wire.codec import Codec
from willowpost.wire.messages import Ping

COUNT = 4000
ROUND = 2  # messages that leave together; a controller seldom says more to one peer at once
WAIT_SECONDS = 5


class Coded:
    """Stands in for the codec: every message is the same, and was encoded before."""

    def __init__(self):
        self.message = Ping(1, "edge-1/proxy@1")
        self.frame = Codec().encode("127.0.0.1:7003", self.message)

    def encode(self, source, message):
        """The one frame, whatever the message."""
        return self.frame

    def decode(self, frame):
        """The one message, whatever the frame."""
        return "127.0.0.1:7003", self.message


class WireCost:
    """Measures one message between two ends of a connection in this process."""

    def run(self) -> float:
        """µs of one message, both ends together, without encoding and decoding."""
        port, taken = free_port(), create_inbox()
        sender, taker = (
            Mesh(f"127.0.0.1:{port}", create_inbox()),
            Mesh(f"127.0.0.1:{port + 1}", taken),
        )
        sender.codec = taker.codec = Coded()
        taker.start()
        try:
            self._send(sender, taker, taken, 1)
            begun = process_time_ns()
            for _ in range(COUNT // ROUND):
                self._send(sender, taker, taken, ROUND)
            return (process_time_ns() - begun) / 1000 / COUNT
        finally:
            taker.stop()

    def _send(self, sender, taker, taken, count):
        for number in range(count):
            sender.send(taker.address, Ping(number, "edge-1/proxy@1"))
        for _ in range(count):
            taken.get(timeout=WAIT_SECONDS)
