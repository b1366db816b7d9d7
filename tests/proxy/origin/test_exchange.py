"""Every place between the first byte to an origin and the last byte to the caller.

The rows of docs/design/control/exchange.md, over real sockets, origins scripted byte for byte.
"""

import contextlib
import re
import struct
import unittest
from pathlib import Path
from unittest import mock

import gevent
import geventhttpclient
from gevent import socket

from tests.support.scripted_proxy import Scripted, echoed, head, sealed
from tests.support.served import ScriptedOrigin, answer
from willowpost.proxy.cache.entry import CacheKey
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.exchange import Exchange
from willowpost.proxy.origin.request import OriginRequest
from willowpost.proxy.origin.response_reader import ResponseReader
from willowpost.shell.health_check import fetch_health

SOURCES = Path(__file__).parents[3] / "src" / "willowpost"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes close() a reset


class CutOrigin(ScriptedOrigin):
    """Sends the first `cut` bytes of its answer, then closes or resets the connection."""

    def __init__(self, whole, cut, reset=False):
        super().__init__(whole)
        self.cut, self.reset = cut, reset

    def _serve(self, connection, source):
        self.requests.append(connection.recv(65536))
        connection.sendall(self.answers[0][: self.cut])
        if self.reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()


class Rows(Scripted):
    def once(self, *scripts):
        proxy = self.served(*scripts)
        code, body, headers = proxy.ask("POST", "/once/1", b"x", wp_request="n1")
        return code, body, headers.get("wp-outcome"), headers.get("wp-seal")

    def test_once_cut_at_every_byte_is_sent_once_and_never_a_success(self):
        whole = sealed(b"done")
        for cut in range(len(whole) + 1):
            with self.subTest(cut=cut):
                proxy = self.served((sealed(),), (sealed(),))
                self.origins = [CutOrigin(whole, cut, cut % 2) for _ in range(2)]
                proxy.set_origins(self.origins, checks_incarnation=True, requires_seal=True)
                code, body, headers = proxy.ask("POST", "/once/1", b"x", wp_request="n1")
                self.assertEqual(1, len(self.asked()))
                if code == 200:
                    # a reset may take bytes with it, but adds none
                    self.assertEqual((len(whole), b"done"), (cut, body))
                else:
                    self.assertEqual((502, "unknown"), (code, headers["wp-outcome"]))
                self.assertEqual({}, proxy.pool.idle)

    def test_interim_answers_are_passed_over_with_a_foreign_one_between(self):
        early = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        foreign = sealed(b"x" * 200 + sealed(b"inner"), name="n0")
        code, body, _, _ = self.once((early * 2 + foreign + early + sealed(b"mine"),))
        self.assertEqual((200, b"mine"), (code, body))

    def test_what_cannot_be_the_whole_answer_is_a_failure(self):
        ours = b"Wp-Request: n1\r\nWp-Seal: s\r\n"
        for broken in (
            b"HTTP/1.1 200 OK\r\n" + ours + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" + ours + b"Transfer-Encoding: chunked\r\n\r\nZ\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" + ours + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            b"HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nno" + sealed(),
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            answer(b"no seal", wp_request="n1"),
            sealed(name="n0") * 4,
        ):
            with self.subTest(broken=broken):
                proxy = self.served((broken,), (sealed(),))
                proxy.front.executor.attempts.resources.origin_selector.in_flight[
                    self.origins[1].address + "@1"
                ] = 50
                task = gevent.spawn(
                    proxy.ask, "POST", "/once/1", b"x", wp_request="n1", wp_left="300"
                )
                code, _, headers = task.get(timeout=5)
                self.assertIn(code, (502, 504))
                self.assertEqual(("unknown", 1), (headers["wp-outcome"], len(self.asked())))
                self.assertNotIn("wp-seal", headers)

    def test_no_status_of_ours_bears_an_origins_seal(self):
        for status in ("503 Busy", "429 Many", "408 Late"):
            with self.subTest(status=status):
                self.assertEqual(
                    (502, "unknown", None), (*self.once((sealed(b"", status),))[::2], None)
                )
        proxy = self.served((sealed(b"0123", etag='"e"'),))
        self.assertEqual("s", proxy.ask("GET", "/kept/1", wp_request="n1")[2]["wp-seal"])
        for said in ({"range": "bytes=9-"}, {"if_none_match": '"e"'}):
            code, _, headers = proxy.ask("GET", "/kept/1", wp_request="n1", **said)
            self.assertIn(code, (304, 416))
            self.assertNotIn("wp-seal", headers)

    def test_a_failure_of_the_origins_own_keeps_its_status_body_and_seal(self):
        self.assertEqual((500, b"why", None, "s"), self.once((sealed(b"why", "500 Oops"),)))

    def test_an_early_answer_is_read_although_the_body_could_not_be_sent(self):
        class EarlyOrigin(ScriptedOrigin):
            def _serve(self, connection, source):
                self.requests.append(connection.recv(1000))
                connection.sendall(self.answers[0])
                connection.close()  # with bytes unread: a reset

        proxy = self.served((sealed(),))
        refusing = EarlyOrigin(answer(b"", "503 Full", wp_request="n1", wp_not_run="1"))
        taking = ScriptedOrigin(sealed(b"done"))
        proxy.set_origins([refusing, taking], checks_incarnation=True, requires_seal=True)
        proxy.front.executor.attempts.resources.origin_selector.in_flight[taking.address + "@1"] = (
            50
        )
        body = b"x" * 900_000
        with mock.patch.object(proxy.front.limits, "body_bytes", lambda asked: 10**7):
            code, said, _ = proxy.ask("POST", "/once/1", body, wp_request="n1")
        # either the answer was still there and is followed by another try, or the request may have
        # run; never a second try on the mere word of a reset
        self.assertIn((code, len(taking.requests)), ((200, 1), (502, 0)))
        self.assertEqual(b"done" if code == 200 else said, said)

    def test_a_304_nobody_asked_for_is_tried_elsewhere(self):
        unasked = b"HTTP/1.1 304 Not Modified\r\nWp-Request: n1\r\n\r\n"
        for path in ("/again/1", "/kept/1"):
            proxy = self.served((unasked,), (sealed(b"right"),))
            proxy.front.executor.attempts.resources.origin_selector.in_flight[
                self.origins[1].address + "@1"
            ] = 50
            self.assertEqual((200, b"right"), proxy.ask("GET", path, wp_request="n1")[:2])

    def test_a_304_about_another_version_does_not_renew_the_copy(self):
        other = b'HTTP/1.1 304 Not Modified\r\nWp-Request: n1\r\nETag: "2"\r\n\r\n'
        proxy = self.served((sealed(b"one", etag='"1"', cache_control="max-age=1"), other))
        proxy.ask("GET", "/kept/1", wp_request="n1")
        proxy.clock.time += 2_000_000
        proxy.node_state.fresh_as_of = proxy.clock.time
        code, _, headers = proxy.ask("GET", "/kept/1", wp_request="n1")
        self.assertEqual((502, None), (code, headers.get("etag")))

    def test_a_304_brings_the_tags_that_a_purge_then_hits(self):
        same = b'HTTP/1.1 304 Not Modified\r\nWp-Request: n1\r\nETag: "1"\r\nWp-Tags: b\r\n\r\n'
        proxy = self.served(
            (sealed(b"one", etag='"1"', cache_control="max-age=1", wp_tags="a"), same)
        )
        proxy.ask("GET", "/kept/1", wp_request="n1")
        proxy.clock.time += 2_000_000
        proxy.node_state.fresh_as_of = proxy.clock.time
        self.assertEqual(b"one", proxy.ask("GET", "/kept/1", wp_request="n1")[1])
        (entry,) = proxy.cache.entries[CacheKey("h.example", "/kept/1", "g")]
        self.assertEqual(("b",), entry.tags)
        self.assertEqual({"b"}, set(proxy.cache.tag_index.keys_by_tag))

    def test_bodies_where_none_may_be_end_the_connection(self):
        for method, status in (("HEAD", "200 OK"), ("GET", "204 No Content")):
            with self.subTest(method=method, status=status):
                proxy = self.served((sealed(b"body", status), sealed(name="n2")))
                code, body, _ = proxy.ask(method, "/again/1", wp_request="n1")
                self.assertEqual((int(status[:3]), b""), (code, body))
                self.assertEqual(b"ok", proxy.ask("GET", "/again/2", wp_request="n2")[1])
                self.assertEqual([1, 2], self.origins[0].connections)

    def test_where_another_incarnation_or_no_origin_answers_nothing_more_is_asked(self):
        for strange in (
            answer(b"", "421 Misdirected", wp_request="n1"),
            answer(b"no seal", wp_request="n1"),
            answer(b"big" * 30_000, wp_request="n1"),
        ):
            with self.subTest(strange=strange[:60]):
                proxy = self.served((strange, sealed(name="n2")))
                self.assertIn(proxy.ask("GET", "/again/1", wp_request="n1")[0], (502, 503))
                self.assertEqual({}, proxy.pool.idle)
                self.assertEqual(200, proxy.ask("GET", "/again/2", wp_request="n2")[0])
                self.assertEqual([1, 2], self.origins[0].connections)

    def test_an_answer_without_an_id_is_ours_only_on_a_connection_of_its_own(self):
        proxy = self.served((sealed(), answer(b"whose", wp_seal="s"), sealed(name="n2")))
        proxy.ask("GET", "/again/1", wp_request="n1")
        self.assertEqual(502, proxy.ask("GET", "/again/2", wp_request="n2")[0])
        proxy = self.served((answer(b"ok", wp_seal="s"), sealed(b"ok", name="n2")))
        self.assertEqual(200, proxy.ask("GET", "/again/1", wp_request="n1")[0])
        self.assertEqual(200, proxy.ask("GET", "/again/2", wp_request="n2")[0])
        self.assertEqual([1, 2], self.origins[0].connections)

    def test_without_the_check_of_the_id_the_answer_of_another_passes(self):
        proxy = self.served((sealed(), answer(b"whose", wp_seal="s")))
        proxy.ask("GET", "/again/1", wp_request="n1")
        with mock.patch.object(ResponseReader, "_check_request_id", lambda *args: None):
            self.assertEqual(b"whose", proxy.ask("GET", "/again/2", wp_request="n2")[1])


class Callers(Scripted):
    def test_equal_ids_of_two_callers_do_not_mix_their_answers(self):
        proxy = self.served((echoed,))
        gate = gevent.event.Event()
        self.origins[0].hold = lambda request: gate.wait()
        tasks = {
            path: gevent.spawn(proxy.ask, method, path, wp_request="same")
            for method, path in (("GET", "/again/1"), ("GET", "/kept/2"), ("POST", "/once/3"))
        }
        while len(self.asked()) < 3:
            gevent.sleep(0.001)
        gate.set()
        for path, task in tasks.items():
            self.assertEqual((200, path.encode()), task.get(timeout=5)[:2])

    def test_a_joined_fetch_is_not_waited_for_beyond_the_own_deadline(self):
        proxy = self.served((echoed,))
        gate = gevent.event.Event()
        self.origins[0].hold = lambda request: gate.wait()
        leader = gevent.spawn(proxy.ask, "GET", "/kept/1", wp_request="n1")
        while not self.asked():
            gevent.sleep(0.001)
        joined = gevent.spawn(proxy.ask, "GET", "/kept/1", wp_request="n2", wp_left="50")
        code, _, headers = joined.get(timeout=1)
        self.assertEqual((504, "n2"), (code, headers["wp-request"]))
        gate.set()
        self.assertEqual(200, leader.get(timeout=5)[0])

    def test_a_failure_by_the_deadline_of_one_is_not_shared_with_others(self):
        proxy = self.served(("hang", echoed))
        gate = gevent.event.Event()
        origin = self.origins[0]
        origin.hold = lambda request: gate.wait() if len(origin.requests) == 1 else None
        origin.answers = [echoed]
        leader = gevent.spawn(proxy.ask, "GET", "/kept/1", wp_request="n1", wp_left="100")
        while not self.asked():
            gevent.sleep(0.001)
        joined = gevent.spawn(proxy.ask, "GET", "/kept/1", wp_request="n2")
        self.assertEqual(504, leader.get(timeout=5)[0])
        code, body, headers = joined.get(timeout=5)
        gate.set()
        self.assertEqual((200, b"/kept/1", "n2"), (code, body, headers["wp-request"]))

    def test_what_is_one_callers_is_neither_joined_nor_kept(self):
        for personal in (
            {"cookie": "a=b"},
            {"authorization": "u"},
            {"range": "bytes=0-1", "if_range": '"e"'},
        ):
            with self.subTest(personal=personal):
                proxy = self.served((echoed,))
                tasks = [
                    gevent.spawn(proxy.ask, "GET", "/kept/1", wp_request=f"n{number}", **personal)
                    for number in range(3)
                ]
                for number, task in enumerate(tasks):
                    self.assertEqual(f"n{number}", task.get(timeout=5)[2]["wp-request"])
                self.assertEqual(3, len(self.asked()))
                self.assertEqual({}, dict(proxy.cache.entries))

    def test_joined_reads_that_vary_by_a_header_get_their_own(self):
        def by_tongue(request):
            return sealed(
                head(request, b"accept-language").encode(),
                name=head(request, b"wp-request"),
                vary="Accept-Language",
            )

        proxy = self.served((by_tongue,))
        tasks = [
            gevent.spawn(
                proxy.ask, "GET", "/kept/1", wp_request=f"n{number}", accept_language=tongue
            )
            for number, tongue in enumerate(("en", "de", "en", "fr"))
        ]
        found = [task.get(timeout=5)[1] for task in tasks]
        self.assertEqual([b"en", b"de", b"en", b"fr"], found)


class NoResolver:
    """Stands where a resolver would be asked, in a thread."""

    def getaddrinfo(self, *args):
        raise AssertionError("a resolver was asked")

    def close(self):
        """As a resolver has it."""


class Connecting(Scripted):
    def test_connections_to_origins_and_probes_ask_no_resolver(self):
        hub = gevent.get_hub()
        hub.resolver = NoResolver()
        self.addCleanup(delattr, hub, "resolver")
        origin = ScriptedOrigin(sealed())
        exchange = Exchange(origin.address)
        exchange.connect(1.0)
        self.addCleanup(exchange.close)
        found = exchange.run(OriginRequest("GET", "/a", [("wp-request", "n1")]), 1.0, 1000)
        self.assertEqual((200, b"ok"), (found.status, found.body))
        self.assertEqual(200, fetch_health(origin.address, "/health", 1.0).status)

    def test_an_address_that_is_none_has_sent_nothing(self):
        for address in ("127.0.0.1:99999", "127.0.0.1:x", "127.0.0.1:1"):
            with self.subTest(address=address), self.assertRaises(ExchangeError) as raised:
                Exchange(address).connect(0.5)
            self.assertFalse(raised.exception.was_sent)


class Library(unittest.TestCase):
    """Of the HTTP client package, the daemons use the parser alone: its client repeats."""

    def test_no_daemon_uses_the_packages_client(self):
        users = {
            path.relative_to(SOURCES).parts[0]
            for path in SOURCES.rglob("*.py")
            if re.search(r"(from|import) +geventhttpclient", path.read_text())
        }
        self.assertEqual({"stand_ins"}, users)

    SCRIPTS = (
        (answer(b"", "302 Found", Location="/elsewhere"), 302),
        (answer(b"", "503 Busy", Retry_After="0"), 503),
        (answer(b"", "408 Late"), 408),
        (b"HTTP/1.1 103 Early\r\n\r\n" + answer(b"more"), 200),
        (b"nonsense\r\n\r\n", None),
        (None, None),
    )

    def test_a_probe_neither_repeats_nor_follows_nor_pools(self):
        for script, status in self.SCRIPTS:
            with self.subTest(script=script):
                origin = ScriptedOrigin(script)
                found = fetch_health(origin.address, "/health", 1.0)
                self.assertEqual(status, None if found is None else found.status)
                self.assertEqual((1, 1), (len(origin.requests), origin.opened))

    def test_a_probe_reads_who_answers(self):
        early = b"HTTP/1.1 103 Early\r\nWP-Token: interim\r\n\r\n"
        for script, token in (
            (answer(b"", **{"WP-Token": "life-2"}), "life-2"),
            (early + answer(b"", **{"Wp-Token": " life-3 "}), "life-3"),
            (early + answer(b""), None),
        ):
            with self.subTest(script=script):
                found = fetch_health(ScriptedOrigin(script).address, "/health", 1.0)
                self.assertEqual(token, found.headers.get("wp-token"))

    def test_nobody_there_and_silence_are_no_status(self):
        origin = ScriptedOrigin(answer())
        origin.hold = lambda request: gevent.event.Event().wait()
        self.assertIsNone(fetch_health(origin.address, "/health", 0.05))
        origin.server.stop()
        self.assertIsNone(fetch_health(origin.address, "/health", 0.05))
        self.assertIsNone(fetch_health("no address:x", "/health", 0.05))

    def test_the_packages_client_would_send_it_again(self):
        origin = ScriptedOrigin(None)
        host, port = origin.address.split(":")
        client = geventhttpclient.HTTPClient(host, int(port), network_timeout=1)
        with contextlib.suppress(Exception), contextlib.closing(client):
            client.get("/health")
        self.assertGreater(len(origin.requests), 1)


if __name__ == "__main__":
    unittest.main()
