"""A caller's connection that rests: how long it is kept, and what happens to a late request."""

import time
import unittest
from dataclasses import replace
from types import MappingProxyType

from gevent import socket

from tests.support.served import ScriptedOrigin, ServedProxy, answer

ASKED = b"GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n"
BRIEF_MS, LONG_MS = 150, 60_000
SECOND = 1000


class IdleCallers(unittest.TestCase):
    def setUp(self):
        self.origin = ScriptedOrigin(*[answer(b"ok", cache_control="no-store")] * 4)
        self.proxy = ServedProxy(self.origin)
        self.addCleanup(self.proxy.stop)
        self.allow(BRIEF_MS)
        self.caller = socket.create_connection(self.proxy.address, timeout=5)
        self.addCleanup(self.caller.close)

    def allow(self, idle_ms):
        state = self.proxy.node_state
        state.snapshot = replace(state.snapshot, limits=MappingProxyType({"idle_ms": idle_ms}))

    def ask(self):
        self.caller.sendall(ASKED)
        return self.caller.recv(65536)

    def rested(self, seconds):
        """Whether the connection is still open after a rest."""
        self.caller.settimeout(seconds)
        try:
            return bool(self.caller.recv(1))
        except TimeoutError:
            return True
        finally:
            self.caller.settimeout(5)

    def test_a_connection_that_rests_for_too_long_is_closed(self):
        self.assertIn(b"200 OK", self.ask())
        self.assertFalse(self.rested(2 * BRIEF_MS / SECOND + 1))

    def test_a_limit_that_grows_meanwhile_holds_for_who_rests(self):
        """Callers go by the configuration they know, which may be newer than the rest's begin."""
        self.assertIn(b"200 OK", self.ask())
        self.allow(LONG_MS)
        self.assertTrue(self.rested(3 * BRIEF_MS / SECOND))
        self.assertIn(b"200 OK", self.ask())

    def test_a_request_that_came_in_time_to_a_late_process_is_answered(self):
        self.assertIn(b"200 OK", self.ask())
        self.caller.sendall(ASKED)
        late = time.monotonic() + 3 * BRIEF_MS / SECOND
        while time.monotonic() < late:
            pass  # the process has other work: the request has arrived, and the time is over
        self.assertIn(b"200 OK", self.caller.recv(65536))


if __name__ == "__main__":
    unittest.main()
