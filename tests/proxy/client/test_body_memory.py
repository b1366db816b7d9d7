"""What clients and origins send takes bounded memory over all connections together.

The review's case 5: four bodies of 64 MiB, each within the limit, ended an edge by memory, with all
requests that it worked on.
"""

import tracemalloc
import unittest
from dataclasses import replace

import gevent
import gevent.event
from gevent import socket

from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.common.memory_budget import MemoryBudget
from willowpost.proxy.client import body_reader
from willowpost.proxy.client.chunked_body import MAX_TRAILER_BYTES, ChunkedBody
from willowpost.proxy.client.connection_reader import TURN_BYTES, ConnectionReader
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.request_memory import RequestMemory
from willowpost.shell.web_server import RECEIVE_BUFFER_BYTES

MEBIBYTE = 1024 * 1024
PROCESS_BYTES = 24 * MEBIBYTE
BODY_BYTES = 8 * MEBIBYTE
CLIENTS = 6


def configuration(tries=2, deadline_ms=20_000):
    kinds = {"once": "once", "again": "repeatable", "get": "repeatable"}
    return {
        "services": {"g": {"rate": 1000}},
        "settings": {"service": "g", "tries": tries, "deadline_ms": deadline_ms},
        "limits": {"body_bytes": BODY_BYTES},
        "branches": {
            name: {"host": "h.example", "path": f"/{name}/", "settings": {"kind": kind}}
            for name, kind in kinds.items()
        },
    }


def chunked(body, size):
    blocks = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(block), block) for block in blocks) + b"0\r\n\r\n"


class Served(unittest.TestCase):
    def served(self, *answers, origins=1, process_bytes=PROCESS_BYTES, **settings):
        self.origins = [ScriptedOrigin(*answers) for _ in range(origins)]
        self.memory = RequestMemory(process_bytes)
        self.proxy = ServedProxy(
            *self.origins, configuration=configuration(**settings), memory=self.memory
        )
        self.proxy.node_state.snapshot = self.with_limits(self.proxy.node_state.snapshot)
        self.addCleanup(self.proxy.stop)

    def with_limits(self, snapshot):
        return replace(snapshot, limits={"body_bytes": BODY_BYTES})

    def upload(self, data, path="/once/1"):
        """(status, head) of a request whose framed body is given with its header."""
        header, body = data
        connection = socket.create_connection(self.proxy.address)
        self.addCleanup(connection.close)
        connection.settimeout(20)
        connection.sendall(
            b"POST %b HTTP/1.1\r\nhost: h.example\r\n%b\r\n\r\n" % (path.encode(), header)
        )
        connection.sendall(body)
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        return int(received.split(b" ")[1]), received.lower()

    def sized(self, size=BODY_BYTES):
        return b"content-length: %d" % size, bytes(size)

    def all_statuses(self, uploads):
        tasks = [gevent.spawn(self.upload, *each) for each in uploads]
        gevent.joinall(tasks, timeout=60)
        return [task.value and task.value[0] for task in tasks]


class Uploads(Served):
    def test_bodies_beyond_the_memory_are_served_one_after_another(self):
        """Guards against review/5 (LOST): a few bodies within the limit ended the process."""
        for framing in ("length", "chunks"):
            for path in ("/once/1", "/again/1"):
                with self.subTest(framing=framing, path=path):
                    self.served(answer())
                    body = self.sized()
                    if framing == "chunks":
                        body = b"transfer-encoding: chunked", chunked(bytes(BODY_BYTES), 100_000)
                    statuses = self.all_statuses([(body, path)] * CLIENTS)
                    self.assertEqual([200] * CLIENTS, statuses)
                    lengths = {len(r.split(b"\r\n\r\n", 1)[1]) for r in self.origins[0].requests}
                    self.assertEqual({BODY_BYTES}, lengths)
                    self.assertEqual((0, 0), self.in_use())

    def test_the_largest_bodies_that_fit_are_served_where_the_limit_is_above_the_memory(self):
        process_bytes = BODY_BYTES  # of which a part is for bodies
        largest = RequestMemory(process_bytes).largest_body_bytes
        for size, expected in ((largest - 1, 200), (largest + 1, 413)):
            for framing in ("length", "chunks"):
                with self.subTest(size=size, framing=framing):
                    self.served(answer(), process_bytes=process_bytes)
                    body = self.sized(size)
                    if framing == "chunks":
                        body = b"transfer-encoding: chunked", chunked(bytes(size), 100_000)
                    self.assertEqual(expected, self.upload(body)[0])
                    self.assertEqual((0, 0), self.in_use())

    def in_use(self):
        return self.memory.large_bodies.used, self.memory.small_bodies.used

    def peak(self, process_bytes):
        """The most memory taken while an origin holds every request back for a moment."""
        self.served(answer(), process_bytes=process_bytes)
        origin, connections = self.origins[0], []
        origin.server.stop()
        origin.server.set_handle(lambda connection, _: connections.append(connection))
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        origin.address = f"127.0.0.1:{silent.getsockname()[1]}"
        self.proxy.set_origins([origin])
        self.proxy.node_state.snapshot = self.with_limits(self.proxy.node_state.snapshot)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        tasks = [gevent.spawn(self.upload, self.sized()) for _ in range(CLIENTS)]
        gevent.sleep(1)
        sent = CLIENTS * BODY_BYTES  # what the clients' own bodies take
        taken = tracemalloc.get_traced_memory()[1] - sent
        gevent.killall(tasks)
        tracemalloc.stop()
        return taken

    def test_what_they_take_stays_within_its_part(self):
        part = RequestMemory(PROCESS_BYTES).large_bodies.capacity
        self.assertLess(self.peak(PROCESS_BYTES), part + 4 * MEBIBYTE)
        self.assertGreater(self.peak(100 * PROCESS_BYTES), (CLIENTS - 1) * BODY_BYTES)

    def test_small_requests_go_past_large_ones_that_wait(self):
        self.served(answer())
        claim = self.memory.large_bodies.open(self.memory.largest_body_bytes)
        self.assertTrue(claim.grow(self.memory.largest_body_bytes, lambda: None))
        waiting = gevent.spawn(self.upload, self.sized())
        gevent.sleep(0.05)
        self.assertEqual(1, self.memory.large_bodies.waiting)
        for _ in range(3):
            self.assertEqual(200, self.upload(self.sized(300))[0])
        chunks = b"transfer-encoding: chunked", chunked(bytes(300), 100)
        self.assertEqual(200, self.upload(chunks)[0])
        self.assertFalse(waiting.ready())
        claim.release()
        self.assertEqual(200, waiting.get(timeout=20)[0])

    def test_one_that_waited_for_its_part_of_its_time_is_told_that_it_has_not_run(self):
        self.served(answer(), deadline_ms=300)
        claim = self.memory.large_bodies.open(self.memory.largest_body_bytes)
        claim.grow(self.memory.largest_body_bytes, lambda: None)
        status, head = self.upload(self.sized())
        self.assertEqual(503, status)
        self.assertIn(b"wp-outcome: not-run", head)
        self.assertIn(b"retry-after: 0.2", head)
        self.assertEqual([], self.origins[0].requests)
        self.assertEqual(0, self.memory.large_bodies.waiting)

    def test_a_body_is_sent_again_only_while_nobody_waits_for_its_memory(self):
        not_run = answer(b"", "503 Full", wp_not_run="1")
        for has_waiting, expected in ((False, [200, 2]), (True, [503, 1])):
            with self.subTest(has_waiting=has_waiting):
                self.served(not_run, origins=2)
                for origin in self.origins:
                    origin.hold = lambda _, first=[]: self.before_answer(first, has_waiting)
                status = self.upload(self.sized())[0]
                asked = sum(len(origin.requests) for origin in self.origins)
                self.assertEqual(expected[1], asked)
                self.assertEqual(503, status)

    def before_answer(self, first, has_waiting):
        if has_waiting:
            claim = self.memory.large_bodies.open(self.memory.largest_body_bytes)
            claim.grow(self.memory.largest_body_bytes, lambda: None)
            self.addCleanup(claim.release)

    def test_a_client_that_leaves_gives_its_memory_back(self):
        self.served(answer())
        connection = socket.create_connection(self.proxy.address)
        connection.sendall(
            b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\ncontent-length: %d\r\n\r\nhalf"
            % BODY_BYTES
        )
        gevent.sleep(0.05)
        self.assertEqual(BODY_BYTES, self.memory.large_bodies.used)
        connection.close()
        gevent.sleep(0.05)
        self.assertEqual((0, 0), self.in_use())

    def test_a_body_that_dribbles_in_gives_way_to_those_that_wait(self):
        self.served(answer())
        body_reader_grace = body_reader.CONTENDED_GRACE_SECONDS
        body_reader.CONTENDED_GRACE_SECONDS = 0.0
        self.addCleanup(setattr, body_reader, "CONTENDED_GRACE_SECONDS", body_reader_grace)
        slow = socket.create_connection(self.proxy.address)
        self.addCleanup(slow.close)
        slow.sendall(
            b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\ncontent-length: %d\r\n\r\nx" % BODY_BYTES
        )
        gevent.sleep(0.05)
        self.assertEqual(200, self.upload(self.sized())[0])
        self.assertIn(b" 408 ", slow.recv(65536)[:20])

    def test_what_comes_behind_a_refused_body_starves_nobody(self):
        """Guards against review/2 (CONFIG): an edge that reads one client and answers nobody."""
        self.served(answer())
        header = b"content-length: %d" % (BODY_BYTES + 1)
        flood = gevent.spawn(self.flood, header)
        gevent.sleep(0.05)
        with gevent.Timeout(5):
            self.assertEqual(200, self.upload(self.sized(10))[0])
        flood.kill()

    def flood(self, header):
        connection = socket.create_connection(self.proxy.address)
        connection.sendall(b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\n%b\r\n\r\n" % header)
        while True:
            connection.sendall(bytes(MEBIBYTE))
            gevent.sleep(0)

    def test_the_kernel_holds_little_of_what_is_not_read(self):
        self.served(answer())
        size = self.proxy.web.server.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertLessEqual(size, 2 * RECEIVE_BUFFER_BYTES)  # socket(7): the kernel doubles it


class ReadAhead(Served):
    def test_what_many_connections_send_ahead_is_bounded_together(self):
        self.served(answer())
        reached, release = gevent.event.Event(), gevent.event.Event()

        def hold(head):
            reached.set()
            release.wait()

        self.origins[0].hold = hold
        head = b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\ncontent-length: 0\r\n\r\n"
        connections = [socket.create_connection(self.proxy.address) for _ in range(40)]
        for connection in connections:
            self.addCleanup(connection.close)
            connection.sendall(head + head + b"GET /get/1 HTTP/1.1\r\nx: " + bytes(48 * 1024))
        self.assertTrue(reached.wait(5))
        gevent.sleep(0.2)
        pool = self.memory.read_ahead
        self.assertLessEqual(pool.used, pool.capacity)
        self.assertGreater(pool.used, pool.capacity // 2)
        release.set()
        for connection in connections:
            connection.settimeout(5)
            self.assertIn(b" 200 ", connection.recv(65536)[:20])
            connection.close()
        gevent.sleep(0.2)
        self.assertEqual(0, pool.used)


class Responses(Served):
    def test_a_response_that_finds_no_memory_is_streamed(self):
        body = bytes(range(256)) * 8192
        self.served(answer(body), process_bytes=MEBIBYTE)
        status, received, _ = self.proxy.ask("GET", "/get/1")
        self.assertEqual((200, body), (status, received))
        self.assertEqual(0, self.memory.responses.used)

    def test_one_that_finds_memory_is_buffered_and_gives_it_back(self):
        self.served(answer(bytes(MEBIBYTE)))
        self.assertEqual(200, self.proxy.ask("GET", "/get/1")[0])
        self.assertEqual(0, self.memory.responses.used)


class Waiting:
    """A connection on which bytes are always waiting, some at a time."""

    def __init__(self, data, step=1 << 30):
        self.data, self.place, self.step = data, 0, step

    def recv(self, size):
        taken = self.data[self.place : self.place + min(size, self.step)]
        self.place += len(taken)
        return taken

    def recv_into(self, view):
        taken = self.recv(len(view))
        view[: len(taken)] = taken
        return len(taken)


class Chunks(unittest.TestCase):
    def read(self, data, step=1 << 30):
        source, block = ChunkedBody(ConnectionReader(Waiting(data, step))), bytearray(4096)
        found = b""
        while count := source.read_into(memoryview(block)):
            found += block[:count]
        return found

    def test_content_is_read_however_it_is_cut(self):
        body = bytes(range(256)) * 40
        for size in (1, 7, 4096, 20_000):
            for step in (1, 3, 5000):
                self.assertEqual(body, self.read(chunked(body, size), step), (size, step))
        with_more = b"5;name=value\r\nhello\r\n0\r\ntrailer: 1\r\nother: 2\r\n\r\n"
        self.assertEqual(b"hello", self.read(with_more))

    def test_what_is_malformed_or_ends_short_is_no_body(self):
        for data in (
            b"5\r\nhell",
            b"5\r\nhello\r\n",
            b"5\r\nhelloX\r\n0\r\n\r\n",
            b"5\nhello\r\n0\r\n\r\n",
            b"-5\r\nhello\r\n0\r\n\r\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"\r\nhello",
            b"5" * 17 + b"\r\n",
            b"5;" + b"x" * 20_000 + b"\r\nhello\r\n0\r\n\r\n",
            b"0\r\n" + b"a: b\r\n" * MAX_TRAILER_BYTES,
            b"0\r\nno trailer\r\n\r\n",
        ):
            with self.subTest(data=data[:20]), self.assertRaises((EOFError, ValueError)):
                self.read(data)

    def test_many_tiny_chunks_leave_others_their_turns(self):
        """Guards against review/2 (CONFIG): work that is not bytes counts as well."""
        data, turns = chunked(bytes(20_000), 1), 0

        def count():
            nonlocal turns
            while True:
                turns += 1
                gevent.sleep(0)

        other = gevent.spawn(count)
        gevent.sleep(0)
        before = turns
        self.read(data)
        other.kill()
        self.assertGreaterEqual(turns - before, 20_000 * 1024 // TURN_BYTES - 2)


class Bodies(unittest.TestCase):
    def test_a_body_is_kept_until_its_memory_is_wanted(self):
        budget = MemoryBudget(10, max_waiting=1)
        claim, other = budget.open(6), budget.open(6)
        claim.grow(6, lambda: None)
        body = RequestBody((b"abcd", b"ef"), claim)
        body.offer()
        self.assertTrue(body.retain())
        self.assertFalse(other.grow(6, lambda: None))
        self.assertFalse(body.is_released)
        body.offer()
        self.assertEqual((True, (), 6), (body.is_released, body.blocks, len(body)))
        self.assertFalse(body.retain())
        self.assertEqual(6, other.held)
        body.release()
        self.assertEqual(6, budget.used)


if __name__ == "__main__":
    unittest.main()
