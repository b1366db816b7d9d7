"""Orders that a registry carries out after their caller gave up and ordered something else.

The review's first case: a registry stood still while a zone's evacuation was withdrawn and ordered
anew elsewhere, woke, and carried out the withdrawal that it found on its socket.
"""

import json
import unittest
from types import SimpleNamespace

import gevent
from gevent import socket

from tests.support.registry_world import World
from willowpost.common.events import Tick
from willowpost.common.log_position import LogPosition
from willowpost.registry.arrival_positions import TICKS_UNTIL_ACCEPTED, ArrivalPositions
from willowpost.shell.router import Router
from willowpost.shell.web import Response
from willowpost.shell.web_server import CountingHandler, WebServer
from willowpost.sim.world import seconds
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.tables import Tables


class StandingStill(World):
    """r0 stands still and finds an older order when it goes on; the caller went on to r1."""

    def position(self, registry="r0"):
        return self.world.seats[registry].node.node.arrival_positions.before_arrival()

    def zone(self):
        return self.world.seats["r1"].node.registry.tables.zone_evacuations["b"].is_evacuated

    def restored_late(self, known_before):
        """An evacuation is withdrawn and ordered anew by r1; then r0 finds the withdrawal."""
        self.assertEqual(200, self.call("POST", "/v1/zones/b/empty", first=1).code)
        self.world.run(seconds(1))
        known_before = known_before or self.position()
        for action in ("restore", "empty"):
            self.assertEqual(200, self.call("POST", f"/v1/zones/b/{action}", first=1).code)
            self.world.run(seconds(1))
        return self.call_once("POST", "/v1/zones/b/restore", known_before=known_before)

    def test_a_withdrawal_found_on_waking_undoes_no_evacuation_ordered_since(self):
        """Guards against EVAC of review/1: an order whose caller has left undid a newer one."""
        answer = self.restored_late(None)
        self.world.run(seconds(2))
        self.assertEqual((307, True), (answer.code, self.zone()))

    def test_a_caller_that_still_waits_follows_and_is_obeyed(self):
        answer = self.restored_late(None)
        query = dict(answer.headers)["Location"].partition("?")[2]
        self.assertEqual(200, self.call_once("POST", "/v1/zones/b/restore", query=query).code)
        self.assertFalse(self.zone())

    def test_the_redirected_order_is_fenced_too(self):
        """Its second request may be as late as the first."""
        answer = self.restored_late(None)
        query = dict(answer.headers)["Location"].partition("?")[2]
        for action in ("restore", "empty"):
            self.assertEqual(200, self.call("POST", f"/v1/zones/b/{action}", first=1).code)
        late = self.call_once("POST", "/v1/zones/b/restore", query=query)
        self.world.run(seconds(1))
        self.assertEqual((307, True), (late.code, self.zone()))

    def test_a_position_taken_on_waking_would_undo_it(self):
        """The check finds the fault: by the tables of the moment at which the order is read."""
        newest = LogPosition(2**60, 2**60)
        self.assertEqual(200, self.restored_late(newest).code)
        self.world.run(seconds(1))
        self.assertFalse(self.zone())

    def late_configuration(self, method, value):
        tree = self.world.configuration
        self.assertEqual(200, self.call("PUT", "/v1/configuration", tree, first=1).code)
        self.world.run(seconds(1))
        known_before = self.position()
        newer = {**tree, "settings": {"deadline_ms": 1234}}
        self.assertEqual(200, self.call("PUT", "/v1/configuration", newer, first=1).code)
        self.world.run(seconds(1))
        late = self.call_once(method, "/v1/configuration", value, known_before=known_before)
        held = self.call("GET", "/v1/configuration", first=1).value
        return late.code, held["configuration"]["settings"]

    def test_a_configuration_that_requires_no_version_replaces_no_newer_one(self):
        older = {**self.world.configuration, "settings": {"deadline_ms": 777}}
        self.assertEqual((307, {"deadline_ms": 1234}), self.late_configuration("PUT", older))

    def test_nor_does_a_patch(self):
        patch = [{"op": "replace", "path": "/settings/deadline_ms", "value": 777}]
        self.assertEqual((307, {"deadline_ms": 1234}), self.late_configuration("PATCH", patch))

    def test_a_malformed_position_is_refused(self):
        for query in ("known=x", "known=1", "known=-1.2", "known=1.2.3", f"known={'9' * 20}.1"):
            answer = self.call_once("POST", "/v1/zones/b/empty", query=query)
            self.assertEqual(400, answer.code, query)


class Positions(unittest.TestCase):
    def setUp(self):
        self.is_accepting = True
        self.node_state = SimpleNamespace(tables=Tables())
        self.positions = ArrivalPositions(self.node_state, lambda: self.is_accepting)
        self.now = 0

    def ticks(self, first_slot, count):
        for slot in range(first_slot, first_slot + count):
            self.node_state.tables = Tables(slot, configuration=ActiveConfiguration(slot))
            self.positions.step(Tick(), self.now)

    def test_it_is_the_oldest_of_the_last_ticks(self):
        self.assertEqual(LogPosition(0, 0), self.positions.before_arrival())
        self.ticks(10, 100)
        oldest = 10 + 100 - TICKS_UNTIL_ACCEPTED
        self.assertEqual(LogPosition(oldest, oldest), self.positions.before_arrival())

    def test_a_process_that_stands_still_keeps_what_it_knew_before(self):
        """The clock is not asked: only ticks count, however long it stood."""
        self.ticks(10, 20)
        before = self.positions.before_arrival()
        self.now += seconds(60)
        self.ticks(1000, TICKS_UNTIL_ACCEPTED - 1)
        self.assertLess(before.slot, 30)
        self.assertLess(self.positions.before_arrival().slot, 30)

    def test_nothing_is_recorded_while_connections_wait_to_be_accepted(self):
        self.ticks(10, 20)
        before = self.positions.before_arrival()
        self.is_accepting = False
        self.ticks(1000, 100)
        self.assertEqual(before, self.positions.before_arrival())


class Connections(unittest.TestCase):
    """The position is the one from before the connection, whenever its request is read."""

    def setUp(self):
        self.slot = 5
        self.seen = []
        routes = [("POST", "/order", 100, self._order)]
        router = Router(
            routes, SimpleNamespace(log=print), known_before_arrival=lambda: LogPosition(self.slot)
        )
        self.server = WebServer("127.0.0.1:0", router, CountingHandler)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def _order(self, call):
        self.seen.append(call.known_before)
        return Response(200, {})

    def test_a_request_that_comes_later_has_the_position_of_its_connection(self):
        self.assertTrue(self.server.is_accepting())
        address = ("127.0.0.1", self.server.server.server_port)
        with socket.create_connection(address, timeout=5) as connection:
            for slot in (5, 6, 7):
                self.slot = slot
                connection.sendall(b"POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
                with gevent.Timeout(5):
                    while len(self.seen) < slot - 4:
                        connection.recv(1000)
        self.assertEqual([LogPosition(5)] * 3, self.seen)


class Bodies(World):
    def test_the_platforms_call_says_where_to_send_it_again(self):
        """Only what differs: the query that the caller is to send."""
        answer = self.call_once(
            "POST", "/v1/zones/b/empty", json.dumps({"what": "origins"}).encode()
        )
        self.assertEqual(200, answer.code)
        again = self.call_once(
            "POST", "/v1/zones/b/restore", known_before=LogPosition(0, 0), host="127.0.0.1:80"
        )
        location = dict(again.headers)["Location"]
        self.assertRegex(location, r"^http://127.0.0.1:80/v1/zones/b/restore\?known=\d+\.\d+$")


if __name__ == "__main__":
    unittest.main()
