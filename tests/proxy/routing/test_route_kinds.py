"""Kinds of routes, checked incarnations, echoed ids, seals: byte for byte over real sockets.

Origins scripted.
"""

import os
import unittest

import gevent
from gevent import socket

from tests.support.scripted_proxy import Scripted, sealed
from tests.support.served import answer
from willowpost.proxy.origin.pool import quiet


class Once(Scripted):
    def test_whoever_says_not_run_is_followed_by_another_try(self):
        for status, headers in (("503 Full", {"wp_not_run": "1"}), ("421 Misdirected", {})):
            with self.subTest(status=status):
                proxy = self.served((answer(b"", status, **headers),), (sealed(),))
                # the other one is picked first
                proxy.front.executor.attempts.resources.origin_selector.load[
                    self.origins[1].address + "@1"
                ] = 50
                self.assertEqual(200, proxy.ask("POST", "/once/1", b"x", wp_request="n1")[0])
                self.assertEqual(2, len(self.asked()))

    def test_nothing_else_is_and_no_promise_is_made_of_it(self):
        for script in (
            None,
            answer(b"", "503 Busy"),
            answer(b"", "429 Many"),
            answer(b"", "408 Late"),
            answer(b"junk", length=50, connection="close"),
        ):
            with self.subTest(script=script):
                proxy = self.served((script,), (script,))
                status, _, headers = proxy.ask("POST", "/once/1", b"x", wp_request="n1")
                self.assertIn(status, (502, 504))
                self.assertEqual("unknown", headers["wp-outcome"])
                self.assertEqual(1, len(self.asked()))

    def test_all_say_not_run_and_so_do_we_with_a_time_to_come_back(self):
        proxy = self.served(
            (answer(b"", "503 Full", wp_not_run="1"),), (answer(b"", "421 Misdirected"),)
        )
        status, _, headers = proxy.ask("POST", "/once/1", b"x", wp_request="n1")
        self.assertEqual((503, "not-run"), (status, headers["wp-outcome"]))
        self.assertLess(float(headers["retry-after"]), 1)

    def test_the_incarnation_and_what_is_left_go_along_and_the_id_comes_back(self):
        proxy = self.served((sealed(),))
        status, body, headers = proxy.ask(
            "POST", "/once/a?b=c", b"x", wp_request="n1", wp_left="700"
        )
        self.assertEqual(
            (200, b"ok", "n1", "s"), (status, body, headers["wp-request"], headers["wp-seal"])
        )
        request = self.asked()[0].decode().lower()
        self.assertIn("post /once/a?b=c http/1.1", request)
        self.assertIn("wp-incarnation: incarnation-0", request)
        self.assertIn("wp-request: n1", request)
        self.assertTrue(0 < int(request.split("wp-left: ")[1].split("\r\n")[0]) <= 700)

    def test_any_method_goes_by_the_kind_of_the_route(self):
        proxy = self.served((sealed(),))
        self.assertEqual(
            [200, 200],
            [proxy.ask(method, "/once/1", wp_request="n1")[0] for method in ("GET", "DELETE")],
        )
        # a GET that may run once takes a fresh connection too
        self.assertEqual([1, 2], self.origins[0].connections)


class Repeatable(Scripted):
    def test_a_broken_answer_or_a_failure_is_tried_elsewhere(self):
        for script in (
            None,
            answer(b"", "500 Oops", wp_request="n1"),
            answer(b"half", length=50, connection="close"),
            answer(b"no seal", wp_request="n1"),
            b"junk\r\n\r\n",
        ):
            with self.subTest(script=script):
                proxy = self.served((script,), (sealed(),))
                proxy.front.executor.attempts.resources.origin_selector.load[
                    self.origins[1].address + "@1"
                ] = 50
                self.assertEqual((200, b"ok"), proxy.ask("GET", "/again/1", wp_request="n1")[:2])

    def test_an_answer_to_another_request_is_passed_over_and_its_connection_not_used_again(self):
        proxy = self.served((sealed(b"stale", name="n0"),))
        origin = self.origins[0]
        task = gevent.spawn(proxy.ask, "GET", "/again/1", wp_request="n1")
        while not origin.requests:
            gevent.sleep(0.001)
        origin.answers = [sealed(b"right", name="n2")]
        connection = origin.open[-1]
        connection.sendall(sealed(b"right", name="n1"))
        self.assertEqual((200, b"right"), task.get(timeout=5)[:2])
        proxy.ask("GET", "/again/2", wp_request="n2")
        self.assertEqual([1, 2], origin.connections)

    def test_a_foreign_answer_alone_never_passes(self):
        proxy = self.served((sealed(b"stale", name="n0", connection="close"),))
        self.assertGreaterEqual(proxy.ask("GET", "/again/1", wp_request="n1")[0], 502)

    def test_bytes_behind_an_answer_end_its_connection(self):
        proxy = self.served((sealed() + b"more", sealed(name="n2")))
        self.assertEqual(b"ok", proxy.ask("GET", "/again/1", wp_request="n1")[1])
        self.assertEqual(b"ok", proxy.ask("GET", "/again/2", wp_request="n2")[1])
        self.assertEqual([1, 2], self.origins[0].connections)

    def test_requests_sent_ahead_run_side_by_side_and_are_answered_in_order(self):
        proxy = self.served((sealed(b"slow"),))
        origin, gate = self.origins[0], gevent.event.Event()
        origin.hold = lambda request: gate.wait() if b"/again/1" in request else None
        origin.answers = [
            lambda request: sealed(
                request.split(b" ")[1],
                name=request.lower().split(b"wp-request: ")[1].split(b"\r\n")[0].decode(),
            )
        ]
        connection = socket.create_connection(proxy.address)
        connection.sendall(
            b"".join(
                b"GET /again/%d HTTP/1.1\r\nHost: h.example\r\nWp-Request: n%d\r\n\r\n"
                % (number, number)
                for number in (1, 2, 3)
            )
        )
        while len(origin.requests) < 3:  # all three are under way though the first has no answer
            gevent.sleep(0.001)
        gate.set()
        connection.settimeout(5)
        data = b""
        while data.count(b"/again/") < 3:
            data += connection.recv(65536)
        self.assertEqual(
            sorted(range(3), key=lambda number: data.index(b"/again/%d" % (number + 1))), [0, 1, 2]
        )

    def test_a_route_without_room_for_more_connections_rejects_at_once(self):
        proxy = self.served((sealed(),), max_connections=1)
        gate = gevent.event.Event()
        self.origins[0].hold = lambda request: gate.wait()
        task = gevent.spawn(proxy.ask, "GET", "/again/1", wp_request="n1")
        while not self.origins[0].requests:
            gevent.sleep(0.001)
        status, _, headers = proxy.ask("GET", "/again/2", wp_request="n2")
        self.assertEqual((503, True), (status, "retry-after" in headers))
        gate.set()
        self.assertEqual(200, task.get(timeout=5)[0])


class Connections(Scripted):
    def test_an_idle_connection_with_a_high_descriptor_is_used_again(self):
        proxy = self.served((sealed(), sealed(name="n2")))
        # select() would take no descriptor from 1024 on
        descriptors = [os.dup(0) for _ in range(1100)]
        try:
            self.assertEqual(
                [200, 200],
                [
                    proxy.ask("GET", f"/again/{number}", wp_request=f"n{number}")[0]
                    for number in (1, 2)
                ],
            )
        finally:
            for number in descriptors:
                os.close(number)
        self.assertEqual([1, 1], self.origins[0].connections)

    def test_one_on_which_something_came_unasked_is_not(self):
        proxy = self.served((sealed(), sealed(name="n2")))
        proxy.ask("GET", "/again/1", wp_request="n1")
        self.origins[0].open[0].sendall(b"HTTP/1.1 408 Late\r\n\r\n")
        while pool_is_quiet(proxy):
            gevent.sleep(0.001)
        proxy.ask("GET", "/again/2", wp_request="n2")
        self.assertEqual([1, 2], self.origins[0].connections)


def pool_is_quiet(proxy):
    return all(quiet(connection) for idle in proxy.pool.idle.values() for connection, _ in idle)


class Kept(Scripted):
    def test_a_part_is_cut_from_the_whole_that_is_kept_with_its_seal(self):
        proxy = self.served((sealed(b"0123456789", etag='"e"', wp_tags="t1 t2"),))
        for requested, status, body, seal in (
            ("bytes=3-5", 206, b"345", "s"),
            ("bytes=7-", 206, b"789", "s"),
            ("bytes=0-99", 206, b"0123456789", "s"),
            ("bytes=10-", 416, b"", None),  # our own status: the origin gave no 416
        ):
            response = proxy.ask("GET", "/kept/1", wp_request="n1", range=requested)
            self.assertEqual(
                (status, body, seal), (response[0], response[1], response[2].get("wp-seal"))
            )
        self.assertEqual(1, len(self.asked()))
        self.assertNotIn(b"range", self.asked()[0].lower())

    def test_each_caller_gets_its_own_id_back(self):
        proxy = self.served((sealed(),))
        self.assertEqual(
            ["n1", "n2"],
            [
                proxy.ask("GET", "/kept/1", wp_request=name)[2]["wp-request"]
                for name in ("n1", "n2")
            ],
        )
        self.assertEqual(1, len(self.asked()))

    def test_a_host_may_have_an_underscore(self):
        proxy = self.served((sealed(),))
        self.assertEqual(404, proxy.ask("GET", "/kept/1", host="my_host.example")[0])

    def test_a_caller_that_has_the_object_already_gets_a_304(self):
        proxy = self.served((sealed(etag='"e"'),))
        self.assertEqual(
            [304, 304, 200],
            [
                proxy.ask("GET", "/kept/1", wp_request="n1", if_none_match=tag)[0]
                for tag in ('"e"', '"e"', '"f"')
            ],
        )
        self.assertEqual(1, len(self.asked()))

    def test_no_copy_is_kept_outside_the_home_regions(self):
        for region, asked in (("here", 1), ("there", 2)):
            with self.subTest(region=region):
                proxy = self.served((sealed(),))
                proxy.front.executor.attempts.resources.regions.update(a=region, b="here")
                proxy.set_origins(
                    self.origins, zones=("b",), checks_incarnation=True, requires_seal=True
                )
                self.assertEqual(
                    [200, 200], [proxy.ask("GET", "/home/1", wp_request="n1")[0] for _ in range(2)]
                )
                self.assertEqual(asked, len(self.asked()))

    def test_where_no_copy_may_be_kept_only_the_part_is_fetched(self):
        for region, wanted in (("here", False), ("there", True)):
            with self.subTest(region=region):
                proxy = self.served((sealed(b"0123456789"),))
                proxy.front.executor.attempts.resources.regions.update(a=region, b="here")
                proxy.front.planner.regions = {"a": region, "b": "here"}
                proxy.set_origins(
                    self.origins, zones=("b",), checks_incarnation=True, requires_seal=True
                )
                proxy.ask("GET", "/home/1", wp_request="n1", range="bytes=3-")
                self.assertEqual(wanted, b"range: bytes=3-" in self.asked()[0].lower())

    def test_no_origin_outside_the_home_regions_is_asked(self):
        proxy = self.served((sealed(),))
        proxy.front.executor.attempts.resources.regions.update(a="there")
        self.assertEqual(503, proxy.ask("GET", "/home/1", wp_request="n1")[0])
        self.assertEqual([], self.asked())


class WarmingUp(Scripted):
    def test_an_unreachable_origin_warms_up_until_a_later_heartbeat_says_otherwise(self):
        proxy = self.served((sealed(),), reports_warm_up=True)
        slow_start = proxy.front.executor.attempts.resources.slow_start
        name = self.origins[0].address + "@1"
        service = proxy.node_state.snapshot.services["g"]
        slow_start.suspect_restart(name, proxy.clock.now())
        self.assertTrue(slow_start.is_warming_up(service.origins[0], service, proxy.clock.now()))
        proxy.node_state.reported_warm_up = {name: (proxy.clock.now() + 1, 0)}
        self.assertFalse(
            slow_start.is_warming_up(service.origins[0], service, proxy.clock.now() + 2)
        )
        proxy.node_state.reported_warm_up = {name: (proxy.clock.now() + 3, proxy.clock.now() + 10)}
        self.assertTrue(
            slow_start.is_warming_up(service.origins[0], service, proxy.clock.now() + 4)
        )


if __name__ == "__main__":
    unittest.main()
