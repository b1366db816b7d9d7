"""The wires between processes, over real sockets: junk, and handles that run out."""

import contextlib
import os
import random
import resource
import socket as plain
import unittest
import zlib
from unittest import mock

import gevent
from gevent import socket

from willowpost.shell import mesh as mesh_module
from willowpost.shell.mesh import FRAME_HEADER, MAX_QUEUE_BYTES, MAX_UNACKNOWLEDGED_MS, Mesh
from willowpost.shell.sized_queue import MAX_INBOX_BYTES, MAX_INBOX_EVENTS, SizedQueue, create_inbox
from willowpost.wire.codec import Codec
from willowpost.wire.messages import BallotState, Command, SyncedIndex


def mesh():
    with plain.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    started = Mesh(address, create_inbox())
    started.start()
    return started


class RecordingQueue(SizedQueue):
    """Records the slot of each message that comes in, in the order of all that share `slots`."""

    def __init__(self, slots):
        super().__init__(MAX_INBOX_EVENTS, MAX_INBOX_BYTES)
        self.slots = slots

    def offer(self, item, size):
        self.slots.append(item.message.slot)
        return super().offer(item, size)


class Wires(unittest.TestCase):
    def setUp(self):
        self.here, self.there = mesh(), mesh()
        self.addCleanup(self.here.stop)
        self.addCleanup(self.there.stop)

    def is_delivered(self, slot):
        """A message gets through, sent again until it does as all of ours are."""
        for _ in range(50):
            self.there.send(self.here.address, SyncedIndex("s", slot))
            try:
                while self.here.inbox.get(timeout=0.2).message != SyncedIndex("s", slot):
                    pass
                return True
            except gevent.queue.Empty:
                continue
        return False

    def raw(self):
        host, port = self.here.address.split(":")
        return socket.create_connection((host, int(port)), timeout=5)

    def test_junk_ends_its_connection_and_nothing_of_it_comes_in(self):
        chance = random.Random(7)
        frame = Codec().encode("x", SyncedIndex("s", 1))
        frame_with_header = FRAME_HEADER.pack(len(frame), zlib.crc32(frame)) + frame
        for number in range(200):
            junk = bytearray(frame_with_header)
            if number % 4 == 0:
                junk = bytearray(chance.randbytes(chance.randrange(1, 200)))
            elif number % 4 == 1:
                junk[chance.randrange(len(junk))] ^= 1 << chance.randrange(8)
            elif number % 4 == 2:
                junk = junk[: chance.randrange(1, len(junk))]
            else:  # with a checksum that fits
                body = chance.randbytes(chance.randrange(1, 200))
                junk = bytearray(FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body)
            with self.raw() as connection:
                connection.sendall(bytes(junk))
                connection.shutdown(socket.SHUT_WR)
                self.assertEqual(b"", connection.recv(1), "closed")
        self.assertEqual(0, self.here.inbox.qsize())
        self.assertTrue(self.is_delivered(2))

    def test_without_the_checksum_a_flipped_bit_would_come_in(self):
        """The check above can fail: flatbuffers alone take many a damaged frame."""
        chance, taken = random.Random(7), 0
        for _ in range(200):
            frame = bytearray(Codec().encode("x", SyncedIndex("s", 1)))
            frame[chance.randrange(len(frame))] ^= 1 << chance.randrange(8)
            with contextlib.suppress(Exception):
                taken += Codec().decode(bytes(frame)) != ("x", SyncedIndex("s", 1))
        self.assertGreater(taken, 10)

    def test_the_inbox_of_a_node_that_waits_is_bounded_in_events(self):
        for _ in range(MAX_INBOX_EVENTS):
            self.here.inbox.put(None)
        with self.raw() as connection:
            frame = Codec().encode("x", SyncedIndex("s", 1))
            connection.sendall((FRAME_HEADER.pack(len(frame), zlib.crc32(frame)) + frame) * 100)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(1)
        self.assertEqual(MAX_INBOX_EVENTS, self.here.inbox.qsize())

    def test_frames_of_a_node_that_waits_are_bounded_in_bytes(self):
        """A stalled disk holds the node; peers send ballot states with whole configurations."""
        command = Command("r", 1, 1, 1, "x" * 1024 * 1024)
        frame = Codec().encode("x", BallotState("s", 1, 1, command.key, command))
        with self.raw() as connection:
            for _ in range(40):
                connection.sendall(FRAME_HEADER.pack(len(frame), zlib.crc32(frame)) + frame)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(1)
        inbox = self.here.inbox
        self.assertEqual((True, 31), (inbox.size_bytes <= MAX_INBOX_BYTES, inbox.qsize()))
        while not inbox.empty():
            inbox.get()
        self.assertEqual(0, inbox.size_bytes)

    def test_frames_to_a_peer_that_does_not_read_are_bounded_in_bytes(self):
        command = Command("r", 1, 1, 1, "x" * 1024 * 1024)
        with plain.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen(1)
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            for number in range(60):
                self.here.send(address, BallotState("s", 1, number, command.key, command))
            self.assertLessEqual(self.here.queues[address].size_bytes, MAX_QUEUE_BYTES)

    def test_frames_to_many_peers_that_do_not_read_are_bounded_together(self):
        """Each peer has room of its own; a hundred of them must not add up to a process's memory."""
        peers = []
        for _ in range(8):
            silent = plain.socket()
            self.addCleanup(silent.close)
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            peers.append(f"127.0.0.1:{silent.getsockname()[1]}")
        large = Command("c", 1, 1, 1, "x" * 1_000_000)
        for _ in range(10):
            for peer in peers:
                self.here.send(peer, BallotState("s", 1, 1, large.key, large))
            gevent.sleep(0)
        self.assertLessEqual(self.here.queued_bytes(), mesh_module.MAX_ALL_QUEUES_BYTES)

    def test_frames_that_waited_for_too_long_are_dropped(self):
        with mock.patch.object(mesh_module, "MAX_QUEUED_SECONDS", -1.0):
            self.here.send(self.there.address, SyncedIndex("s", 1))
            with self.assertRaises(gevent.queue.Empty):
                self.there.inbox.get(timeout=0.3)
        self.here.send(self.there.address, SyncedIndex("s", 2))
        self.assertEqual(2, self.there.inbox.get(timeout=2).message.slot)

    def test_one_frame_larger_than_the_queue_is_taken_when_nothing_else_waits(self):
        queue = SizedQueue(2, 10)
        self.assertEqual(
            [True, False, False],
            [queue.offer(name, size) for name, size in (("a", 50), ("b", 1), ("c", 50))],
        )
        queue.put("own")
        self.assertEqual(["a", "own"], [queue.get(), queue.get()])
        self.assertTrue(queue.offer("b", 1))

    def test_handles_that_run_out_on_either_side_are_waited_for(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertTrue(self.is_delivered(1))
        del self.there.queues[self.here.address]  # a new connection is needed
        open_files = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 8, hard))
        try:
            while True:
                try:
                    open_files.append(os.open("/dev/null", os.O_RDONLY))
                except OSError:
                    break
            self.there.send(self.here.address, SyncedIndex("s", 2))
            with self.assertRaises(gevent.queue.Empty):
                self.here.inbox.get(timeout=0.3)
        finally:
            for file in open_files:
                os.close(file)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.assertTrue(self.is_delivered(3))

    def test_what_a_peer_does_not_acknowledge_is_not_buffered_for_long(self):
        """After a cut or a loss of power TCP alone repeats at 0.2, 0.6, 1.4, 3, 6 and 12 s.

        A machine that came back hears nothing till then.
        """
        created, create = [], socket.socket
        with mock.patch.object(
            mesh_module.socket, "socket", lambda *args: created.append(create(*args)) or created[-1]
        ):
            self.assertTrue(self.is_delivered(5))
        self.assertLessEqual(MAX_UNACKNOWLEDGED_MS, 1500)
        self.assertEqual(
            [MAX_UNACKNOWLEDGED_MS],
            [each.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) for each in created],
        )

    def test_over_a_restart_of_the_peer_frames_come_complete_in_order_and_at_most_once(self):
        """A frame that the restart took is lost; none comes twice, or in part, or before another."""
        slots = []
        self.here.stop()
        before, after = (Mesh(self.here.address, RecordingQueue(slots)) for _ in range(2))
        before.start()
        for slot in range(20):
            self.there.send(before.address, SyncedIndex("s", slot))
        with gevent.Timeout(5):
            while not slots:
                gevent.sleep(0.001)
        before.server.stop()
        for slot in range(20, 40):
            self.there.send(before.address, SyncedIndex("s", slot))
        after.start()
        self.addCleanup(after.stop)
        slot = 40
        with gevent.Timeout(5):
            while not after.inbox.qsize():
                self.there.send(after.address, SyncedIndex("s", slot))
                slot += 1
                gevent.sleep(0.005)
        self.assertEqual(sorted(set(slots)), slots)

    def drained(self, mesh):
        return [mesh.inbox.get_nowait() for _ in range(mesh.inbox.qsize())]

    def test_half_a_frame_delays_no_other_connection_and_never_comes_in(self):
        frame = Codec().encode("x", SyncedIndex("s", 7))
        frame_with_header = FRAME_HEADER.pack(len(frame), zlib.crc32(frame)) + frame
        with self.raw() as stalled:
            stalled.sendall(frame_with_header[:-1])
            self.assertTrue(self.is_delivered(8))
        self.assertTrue(self.is_delivered(9))
        self.assertEqual([], self.drained(self.here))

    def test_an_address_that_is_none_harms_nobody(self):
        for address in ("127.0.0.1:99999", "nowhere:1"):
            self.there.send(address, SyncedIndex("s", 1))
        self.assertTrue(self.is_delivered(4))


if __name__ == "__main__":
    unittest.main()
