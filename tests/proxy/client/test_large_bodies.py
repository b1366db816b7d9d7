"""Large requests of one client beside everybody else's.

The review's second case: a body of 32 MB at 100 MB/s held an edge for many seconds; 16 of 16 other
requests, which origins had answered, got no answer in time, and readiness went unanswered.
"""

import unittest

import gevent

from willowpost.proxy.client.connection_reader import TURN_BYTES, ConnectionReader
from willowpost.shell.web_server import Input

MEGABYTE = 1024 * 1024


class FloodingConnection:
    """A connection on which bytes are always waiting, as gevent's recv() finds them."""

    def __init__(self, data):
        self.data, self.place, self.largest = data, 0, 0

    def recv(self, size):
        taken = self.data[self.place : self.place + size]
        self.place += len(taken)
        self.largest = max(self.largest, len(taken))
        return taken


class Turns(unittest.TestCase):
    def read(self, data, read):
        """What was read, and how many turns another task got meanwhile."""
        turns = 0

        def count():
            nonlocal turns
            while True:
                turns += 1
                gevent.sleep(0)

        other = gevent.spawn(count)
        gevent.sleep(0)
        before = turns
        found = read(ConnectionReader(FloodingConnection(data)))
        other.kill()
        return found, turns - before

    def test_other_tasks_run_while_a_large_body_comes(self):
        """Guards against review/2: an edge that answers nobody until an upload is complete."""
        body = bytes(range(256)) * (8 * MEGABYTE // 256)
        found, turns = self.read(body, lambda reader: reader.read(len(body)))
        self.assertEqual(body, found)
        self.assertGreaterEqual(turns, len(body) // TURN_BYTES - 2)

    def test_also_while_it_comes_as_one_chunk_or_as_many(self):
        for chunk in (4 * MEGABYTE, 64 * 1024):
            part = b"%x\r\n%b\r\n" % (chunk, b"z" * chunk)
            data = part * (4 * MEGABYTE // chunk) + b"0\r\n\r\n"
            found, turns = self.read(
                data, lambda reader: Input(reader, None, chunked_input=True).read(64 * MEGABYTE)
            )
            self.assertEqual(4 * MEGABYTE, len(found))
            self.assertGreaterEqual(turns, 4 * MEGABYTE // TURN_BYTES - 2)


class Order(unittest.TestCase):
    def test_heads_lines_and_bodies_follow_each_other(self):
        data = b"\r\nGET /a HTTP/1.1\r\nx: 1\r\n\r\n12345line\nrestPOST / HTTP/1.1\r\n\r\nend"
        reader = ConnectionReader(FloodingConnection(data))
        reader.connection.settimeout = lambda seconds: None
        self.assertEqual(b"GET /a HTTP/1.1\r\nx: 1", reader.read_head(100, lambda: 1.0, 1.0))
        self.assertEqual(b"12345", reader.read(5))
        self.assertEqual(b"line\n", reader.readline())
        self.assertEqual(b"re", reader.readline(2))
        self.assertEqual(b"st", reader.read(2))
        self.assertEqual(b"POST / HTTP/1.1", reader.read_head(100, lambda: 1.0, 1.0))
        self.assertEqual((b"end", b""), (reader.read(10), reader.read(10)))
        self.assertTrue(reader.has_ended)


if __name__ == "__main__":
    unittest.main()
