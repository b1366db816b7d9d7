"""What calls of operators and origins take is bounded over all of them.

Eight bodies of 16 MB, each within its call's limit, ended every registry by memory: a JSON document
takes up to thirty times its length once it is parsed.
"""

import io
import json
import tracemalloc
import unittest
from types import SimpleNamespace

import gevent
import gevent.event

from willowpost.shell import call_memory
from willowpost.shell.call_memory import (
    BYTES_PER_BODY_BYTE,
    MAX_WAITING_CALLS,
    SMALL_BODY_BYTES,
    CallMemory,
    estimated_value_bytes,
)
from willowpost.shell.router import Router
from willowpost.shell.web import Response

MEGABYTE = 1024 * 1024
PROCESS_BYTES = 40 * MEGABYTE
LARGE = 10 * SMALL_BODY_BYTES
DOCUMENTS = {
    "objects": json.dumps([{"a": [1, 2, 3]}] * 20_000),
    "empty ones": "[" + "{}," * 50_000 + "{}]",
    "lists": "[" + "[]," * 50_000 + "[]]",
    "numbers": json.dumps([float(number) for number in range(50_000)]),
    "texts": json.dumps([f"text {number}" for number in range(30_000)]),
    "routes": json.dumps(
        [
            {"name": f"r{number}", "path": f"/a{number}/", "timeout": "2500ms", "homes": []}
            for number in range(10_000)
        ]
    ),
}


class Estimates(unittest.TestCase):
    def test_values_take_no_more_than_is_estimated_and_not_much_less(self):
        for name, text in DOCUMENTS.items():
            with self.subTest(document=name):
                document = text.encode()
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                values = json.loads(document)
                taken = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                self.assertTrue(values)
                estimate = estimated_value_bytes(document)
                self.assertLess(taken, 1.3 * estimate)
                self.assertGreater(taken, estimate / 5)


class Calls(unittest.TestCase):
    def setUp(self):
        self.memory = CallMemory(PROCESS_BYTES)
        self.release = gevent.event.Event()
        self.lengths = []
        self.router = Router(
            (
                ("POST", "/slow", 100 * MEGABYTE, self.slow),
                ("POST", "/quick", MEGABYTE, self.quick),
            ),
            SimpleNamespace(log=lambda *words, **fields: None),
            memory=self.memory,
        )

    def slow(self, request):
        self.lengths.append(len(request.body))
        self.release.wait()
        return Response(200)

    def quick(self, request):
        self.lengths.append(len(request.body))
        return Response(200)

    def call(self, body, path="/slow", is_chunked=False):
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
        }
        environ |= (
            {"HTTP_TRANSFER_ENCODING": "chunked"}
            if is_chunked
            else {"CONTENT_LENGTH": str(len(body))}
        )
        statuses = []
        self.router(environ, lambda status, headers: statuses.append(int(status.split()[0])))
        return statuses[0]

    def in_use(self):
        return self.memory.large_calls.used, self.memory.small_calls.used

    def test_large_bodies_wait_for_each_other_and_all_are_served(self):
        """Guards against registries that end by memory when several large bodies come at once."""
        calls = [gevent.spawn(self.call, bytes(LARGE)) for _ in range(6)]
        gevent.sleep(0.01)
        fitting = self.memory.large_calls.capacity // (LARGE * BYTES_PER_BODY_BYTE)
        self.assertEqual(fitting, len(self.lengths))
        self.assertLess(fitting, len(calls))
        self.release.set()
        self.assertEqual([200] * 6, [call.get(timeout=5) for call in calls])
        self.assertEqual((0, 0), self.in_use())

    def test_small_calls_go_past_them(self):
        gevent.spawn(self.call, bytes(LARGE))
        for _ in range(3):
            gevent.spawn(self.call, bytes(LARGE))
        gevent.sleep(0.01)
        self.assertTrue(self.memory.large_calls.has_waiting)
        self.assertEqual(200, self.call(b"{}", "/quick"))
        self.release.set()

    def test_one_that_waits_too_long_is_told_to_come_back_unread(self):
        before = call_memory.MAX_WAIT_SECONDS
        call_memory.MAX_WAIT_SECONDS = 0.01
        self.addCleanup(setattr, call_memory, "MAX_WAIT_SECONDS", before)
        calls = [gevent.spawn(self.call, bytes(LARGE)) for _ in range(4)]
        gevent.sleep(0.1)
        self.release.set()
        statuses = [call.get(timeout=5) for call in calls]
        self.assertIn(503, statuses)
        self.assertEqual(statuses.count(200), len(self.lengths))

    def test_too_many_that_wait_are_refused_at_once(self):
        calls = [gevent.spawn(self.call, bytes(LARGE)) for _ in range(MAX_WAITING_CALLS + 10)]
        gevent.sleep(0.05)
        self.assertIn(503, [call.value for call in calls])
        self.release.set()
        gevent.joinall(calls, timeout=5)
        self.assertEqual((0, 0), self.in_use())

    def test_a_body_larger_than_all_memory_of_calls_is_served_alone(self):
        self.release.set()
        self.assertEqual(200, self.call(b'"' + bytes(4 * MEGABYTE) + b'"'))
        self.assertEqual(200, self.call(bytes(LARGE), is_chunked=True))

    def test_a_document_whose_values_would_take_the_process_is_refused_unparsed(self):
        self.release.set()
        self.assertEqual(400, self.call(b"[" + b"{}," * MEGABYTE + b"{}]"))
        self.assertEqual([], self.lengths)
        self.assertEqual((0, 0), self.in_use())

    def test_what_ends_short_or_is_too_large_gives_its_memory_back(self):
        self.assertEqual(413, self.call(bytes(2 * MEGABYTE), "/quick"))
        environ = {"CONTENT_LENGTH": str(LARGE), "wsgi.input": io.BytesIO(b"short")}
        with self.assertRaises(EOFError), self.memory.reading(environ, LARGE):
            pass
        self.assertEqual((0, 0), self.in_use())


if __name__ == "__main__":
    unittest.main()
