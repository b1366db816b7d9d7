"""Callers that leave: no work goes on for them, over real sockets.

Each origin notes when a request came, and when the connection that brought it ended.
"""

import contextlib
import time
import unittest
from dataclasses import replace
from types import MappingProxyType

import gevent
from gevent import socket

from tests.support.entries import daemon_entry
from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.proxy.caller.stall_detector import STALL_SECONDS
from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.state.tables import Tables

SOON = 0.25  # seconds in which something that must not happen would have happened
UNTIL = 3.0  # seconds; well before the first try gives up (10), also on a busy machine
CONFIGURATION = {
    "services": {"g": {"rate": 1000, "named": True}},
    "settings": {"service": "g", "tries": 3, "deadline_ms": 30_000, "whole_max": 5000},
    "branches": {
        "once": {"host": "h.example", "path": "/once/", "settings": {"kind": "once"}},
        "again": {"host": "h.example", "path": "/again/", "settings": {"kind": "repeatable"}},
        "kept": {
            "host": "h.example",
            "path": "/kept/",
            "settings": {"kind": "kept", "keep_seconds": 60},
        },
    },
}


class PatientOrigin(ScriptedOrigin):
    """Works on each request until it is told to answer, or its connection ends."""

    def __init__(self, *answers):
        super().__init__(*answers)
        self.answering = gevent.event.Event()
        self.ended: list[float] = []
        self.hold = self._work

    def _work(self, head):
        connection = self.open[-1]
        watch = gevent.spawn(self._watch, connection)
        gevent.wait([watch, self.answering], count=1)
        if watch.ready():
            raise ConnectionError
        watch.kill()

    def _watch(self, connection):
        with contextlib.suppress(ConnectionError):
            while connection.fileno() >= 0 and not self._at_end(connection):
                gevent.sleep(0.02)
        self.ended.append(time.monotonic())

    def _at_end(self, connection):
        try:
            return connection._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False


def until(condition, seconds=UNTIL):
    """Whether it comes about in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        gevent.sleep(0.005)
    return True


class Leaving(unittest.TestCase):
    def served(self, *origins, **more):
        self.origins = origins
        self.proxy = ServedProxy(*origins, configuration=CONFIGURATION, **more)
        self.proxy.set_origins(origins, named=True)
        self.addCleanup(self.proxy.stop)
        self.prefer(0)
        return self.proxy

    def prefer(self, number):
        """Makes one origin the first choice."""
        for other, origin in enumerate(self.origins):
            self.proxy.front.carrier.tries.origins.load[origin.address + "@1"] = (
                0 if other == number else 50
            )

    def sends(self, text, proxy=None):
        caller = socket.create_connection((proxy or self.proxy).address, timeout=5)
        self.addCleanup(caller.close)
        caller.sendall(text)
        return caller

    def get(self, path, body=b"", method="GET"):
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n{length}\r\n"
        return head.encode() + body

    def stand_still(self):
        """The process does not run for a while; what arrives waits in the kernel."""
        self.proxy.front.stall_detector.record_run()
        late = time.monotonic() + 1.5 * STALL_SECONDS
        while time.monotonic() < late:
            pass

    def asked(self):
        return [request for origin in self.origins for request in origin.requests]

    def violations(self):
        return sum(self.proxy.front.carrier.tries.outgoing.violations.values())

    def tearDown(self):
        gevent.sleep(0.05)
        self.assertEqual(0, self.violations())
        self.assertEqual(0, self.proxy.front.in_flight)


class Repeatable(Leaving):
    def test_the_try_under_way_ends_with_its_caller(self):
        for path in ("/again/1", "/kept/1"):
            with self.subTest(path=path):
                origin = PatientOrigin(answer())
                self.served(origin)
                caller = self.sends(self.get(path))
                self.assertTrue(until(lambda: origin.requests))
                caller.close()
                self.assertTrue(until(lambda: origin.ended))

    def test_a_reset_is_an_end_as_well(self):
        origin = PatientOrigin(answer())
        self.served(origin)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: origin.requests))
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        caller.close()
        self.assertTrue(until(lambda: origin.ended))

    def test_a_failed_try_is_not_followed_by_another(self):
        first, second = PatientOrigin(None), PatientOrigin(answer())
        self.served(first, second)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: first.requests))
        caller.close()
        gevent.sleep(0.02)
        first.answering.set()
        self.assertFalse(until(lambda: second.requests, SOON))

    def test_nothing_is_sent_after_a_wait_for_an_admission_token(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        tokens = gevent.event.Event()
        tries = proxy.front.carrier.tries
        tries._granted = lambda *_: tokens.wait(UNTIL)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: proxy.front.in_flight))
        caller.close()
        gevent.sleep(0.02)
        tokens.set()
        self.assertFalse(until(lambda: origin.requests, SOON))

    def test_no_wait_for_a_connection_goes_on(self):
        """Its queue of connections is full: the connect is answered by nobody."""
        deaf = socket.socket()
        self.addCleanup(deaf.close)
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        address = deaf.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            with contextlib.suppress(OSError):
                filler.connect(address)
        origin = PatientOrigin(answer())
        origin.address = f"{address[0]}:{address[1]}"
        proxy = self.served(origin)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: proxy.front.in_flight))
        gevent.sleep(0.05)
        caller.close()
        self.assertTrue(until(lambda: not proxy.front.in_flight))

    def test_requests_behind_the_first_end_too(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        caller = self.sends(b"".join(self.get(f"/again/{number}") for number in range(3)))
        self.assertTrue(until(lambda: len(origin.requests) == 3))
        caller.close()
        self.assertTrue(until(lambda: len(origin.ended) == 3))
        self.assertTrue(until(lambda: not proxy.front.in_flight))

    def test_more_requests_than_are_read_ahead(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        caller = self.sends(b"".join(self.get(f"/again/{number}") for number in range(40)))
        self.assertTrue(until(lambda: len(origin.requests) == 16))
        caller.close()
        self.assertTrue(until(lambda: len(origin.ended) == 16))
        self.assertTrue(until(lambda: not proxy.front.in_flight))
        self.assertEqual(16, len(origin.requests))

    def test_a_close_that_came_while_the_process_stood_still_goes_before_the_request(self):
        origin = PatientOrigin(answer())
        self.served(origin)
        caller = self.sends(self.get("/again/1"))
        caller.close()
        self.stand_still()
        self.assertFalse(until(lambda: origin.requests, SOON))

    def test_a_standstill_between_two_tries(self):
        """The failure of the first try and the caller's close are both there when it goes on."""
        first, second = PatientOrigin(None), PatientOrigin(answer())
        proxy = self.served(first, second)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: first.requests))
        proxy.clock.time += 100_000
        first.open[-1].close()
        caller.close()
        self.stand_still()
        self.assertFalse(until(lambda: second.requests, SOON))

    def test_an_answer_goes_to_a_caller_who_waits(self):
        origin = PatientOrigin(answer(b"late", cache_control="no-store"))
        self.served(origin)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: origin.requests))
        gevent.sleep(0.1)
        origin.answering.set()
        self.assertIn(b"late", caller.recv(65536))


class Once(Leaving):
    def test_an_origin_that_has_it_may_finish_and_it_is_not_sent_again(self):
        first, second = PatientOrigin(answer(b"", "503 Full", wp_not_run="1")), PatientOrigin(None)
        self.served(first, second)
        caller = self.sends(self.get("/once/1", b"x", "POST"))
        self.assertTrue(until(lambda: first.requests))
        caller.close()
        self.assertFalse(until(lambda: first.ended, SOON))
        first.answering.set()
        self.assertFalse(until(lambda: second.requests, SOON))

    def test_it_is_not_sent_after_a_wait(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        tokens = gevent.event.Event()
        proxy.front.carrier.tries._granted = lambda *_: tokens.wait(UNTIL)
        caller = self.sends(self.get("/once/1", b"x", "POST"))
        self.assertTrue(until(lambda: proxy.front.in_flight))
        caller.close()
        gevent.sleep(0.02)
        tokens.set()
        self.assertFalse(until(lambda: origin.requests, SOON))

    def test_one_behind_another_is_never_sent(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        caller = self.sends(self.get("/once/1", b"x", "POST") + self.get("/once/2", b"x", "POST"))
        self.assertTrue(until(lambda: origin.requests))
        caller.close()
        gevent.sleep(0.02)
        origin.answering.set()
        self.assertTrue(until(lambda: not proxy.front.in_flight))
        self.assertEqual(1, len(origin.requests))

    def test_a_body_that_never_came_whole(self):
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        caller = self.sends(self.get("/once/1", b"xyz", "POST")[:-1])
        self.assertTrue(until(lambda: proxy.front.in_flight))
        caller.close()
        self.assertTrue(until(lambda: not proxy.front.in_flight))
        self.assertEqual([], origin.requests)


class HalfClosed(Leaving):
    """A caller that has ended its sending side still reads, and is no caller that has left."""

    def test_it_gets_its_answers_however_late(self):
        origin = PatientOrigin(answer(b"late", cache_control="no-store"))
        proxy = self.served(origin)
        caller = self.sends(self.get("/again/1") + self.get("/once/2", b"x", "POST"))
        caller.shutdown(socket.SHUT_WR)
        self.assertTrue(until(lambda: origin.requests))
        gevent.sleep(0.7)
        self.assertEqual(([], 2), (origin.ended, proxy.front.in_flight + 1))
        origin.answering.set()
        held = b""
        while block := caller.recv(65536):
            held += block
        self.assertEqual(2, held.count(b"200 OK"))
        self.assertEqual(2, held.count(b"late"))
        self.assertLessEqual(held.count(b"100 Continue"), 8)

    def test_one_that_leaves_later_is_noticed_too(self):
        origin = PatientOrigin(answer())
        self.served(origin)
        caller = self.sends(self.get("/again/1"))
        caller.shutdown(socket.SHUT_WR)
        self.assertTrue(until(lambda: origin.requests))
        gevent.sleep(0.3)
        self.assertEqual([], origin.ended)
        caller.close()
        self.assertTrue(until(lambda: origin.ended))


class Joined(Leaving):
    def both(self):
        origin = PatientOrigin(answer(b"shared", cache_control="max-age=60"))
        proxy = self.served(origin)
        first = self.sends(self.get("/kept/1"))
        self.assertTrue(until(lambda: origin.requests))
        second = self.sends(self.get("/kept/1"))
        self.assertTrue(until(lambda: proxy.stats["collapsed"] == 1))
        return origin, first, second

    def test_the_fetch_goes_on_while_one_caller_is_left(self):
        origin, first, second = self.both()
        first.close()
        self.assertFalse(until(lambda: origin.ended, SOON))
        origin.answering.set()
        self.assertIn(b"shared", second.recv(65536))
        self.assertEqual(1, len(origin.requests))

    def test_it_ends_with_the_last_one(self):
        for order in ((0, 1), (1, 0)):
            with self.subTest(order=order):
                origin, *callers = self.both()
                for number in order:
                    callers[number].close()
                    gevent.sleep(0.02)
                self.assertTrue(until(lambda: origin.ended))


class Streams(Leaving):
    def test_the_origin_s_connection_ends_when_the_caller_leaves_midway(self):
        origin = PatientOrigin(answer(b"x" * 300_000, length=900_000, cache_control="no-store"))
        origin.answering.set()
        self.served(origin)
        caller = self.sends(self.get("/again/1"))
        self.assertIn(b"xxx", caller.recv(65536))
        caller.close()
        ended = gevent.spawn(origin._watch, origin.open[-1])
        ended.join(UNTIL)
        self.assertTrue(origin.ended)


class ShieldTier(Leaving):
    def test_a_shield_sees_that_the_edge_s_caller_has_left(self):
        origin = PatientOrigin(answer())
        shield = self.served(origin, role="shield")
        edge = ServedProxy(configuration=CONFIGURATION)
        self.addCleanup(edge.stop)
        address = f"127.0.0.1:{shield.address[1]}"
        state = edge.node_state
        entry = daemon_entry("h", kind="proxy", role="shield", http=address)
        state.tables = Tables(slot=5, epoch=1, daemons={"h": entry})
        state.snapshot = with_shield(state.snapshot, address)
        caller = self.sends(self.get("/kept/1"), edge)
        self.assertTrue(until(lambda: origin.requests))
        caller.close()
        self.assertTrue(until(lambda: origin.ended))


def with_shield(snapshot: RoutingSnapshot, address: str) -> RoutingSnapshot:
    return replace(
        snapshot,
        shields=MappingProxyType({"h": address}),
        shield_zones=MappingProxyType({"h": "a"}),
    )


class VanishedCallers(Leaving):
    def test_a_machine_that_vanishes_is_noticed_by_the_kernel(self):
        """No FIN comes: probes on connections that rest, a limit on bytes not acknowledged."""
        origin = PatientOrigin(answer())
        proxy = self.served(origin)
        caller = self.sends(self.get("/again/1"))
        self.assertTrue(until(lambda: origin.requests))
        handler = next(iter(proxy.front.connections))
        held = handler.socket
        self.assertEqual(1, held.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle, every, times, unread = (
            held.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
        self.assertLessEqual(idle + every * times, 30)
        self.assertTrue(0 < unread <= 30_000)
        caller.close()
        self.assertTrue(until(lambda: origin.ended))


if __name__ == "__main__":
    unittest.main()
