"""What must never reach a caller, brought about by origins scripted byte for byte."""

import base64
import hashlib
import unittest
from unittest.mock import patch

import gevent
from gevent import socket

from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.proxy.cache.entry import CacheKey
from willowpost.proxy.origin.exchange import Exchange
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.state.apply import apply_operation
from willowpost.state.operations import PurgeCache
from willowpost.state.tables import Tables


def digest(body):
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


class Writes(unittest.TestCase):
    def test_a_write_whose_answer_is_lost_is_sent_once_and_called_unknown(self):
        origins = [ScriptedOrigin(None), ScriptedOrigin(None)]
        code, _, headers = ServedProxy(*origins).ask("POST", "/w/1", b"x")
        self.assertEqual((502, "unknown"), (code, headers["wp-outcome"]))
        self.assertIn("retry-after", headers)
        self.assertEqual(1, sum(len(origin.requests) for origin in origins))

    def test_a_write_no_origin_took_is_called_not_run(self):
        gone = ScriptedOrigin(answer())
        gone.server.stop()
        code, _, headers = ServedProxy(gone).ask("POST", "/w/1", b"x")
        self.assertEqual((503, "not-run"), (code, headers["wp-outcome"]))

    def test_a_write_goes_on_to_the_next_origin_only_when_no_byte_left(self):
        gone, there = ScriptedOrigin(answer()), ScriptedOrigin(answer(b"done"))
        gone.server.stop()
        for _ in range(4):
            self.assertEqual((200, b"done"), ServedProxy(gone, there).ask("POST", "/w/1", b"x")[:2])
        self.assertEqual(4, len(there.requests))

    def test_writes_take_fresh_connections(self):
        origin = ScriptedOrigin(answer())
        proxy = ServedProxy(origin)
        proxy.ask("GET", "/a", Cache_Control="no-store")
        self.assertEqual(1, sum(map(len, proxy.pool.idle.values())))
        proxy.ask("POST", "/w/1", b"x")
        self.assertEqual(1, sum(map(len, proxy.pool.idle.values())))


class InstanceChecks(unittest.TestCase):
    """A fresh connection to an origin that opted in asks for its name first.

    Nothing of a request leaves to another.
    """

    mine = answer(b"", Wp_Token="token-of-this-incarnation")

    def proxy(self, *origins):
        proxy = ServedProxy(*origins)
        proxy.set_origins(origins, InstanceCheck("/health", "token-of-this-incarnation"))
        return proxy

    def test_the_request_follows_on_the_connection_that_named_the_token(self):
        origin = ScriptedOrigin(
            self.mine,
            answer(b"one", Cache_Control="no-store"),
            answer(b"two", Cache_Control="no-store"),
            self.mine,
            answer(b"done"),
        )
        proxy = self.proxy(origin)
        self.assertEqual(
            [b"one", b"two", b"done"],
            [
                proxy.ask("GET", "/a")[1],
                proxy.ask("GET", "/b")[1],
                proxy.ask("POST", "/w/1", b"x")[1],
            ],
        )
        self.assertEqual(
            [b"/health", b"/a", b"/b", b"/health", b"/w/1"],
            [request.split()[1] for request in origin.requests],
        )
        self.assertEqual([1, 1, 1, 2, 2], origin.connections)

    def test_whoever_does_not_name_the_token_gets_no_request(self):
        for other in (
            answer(b"", Wp_Token="token-of-another"),
            answer(b""),
            answer(b"", "503 Service Unavailable", Wp_Token="token-of-this-incarnation"),
            answer(b"", Wp_Token="token-of-this-incarnation", Connection="close"),
            answer(b"x" * 9, length=10, Wp_Token="token-of-this-incarnation", Connection="close"),
            b"nonsense",
            None,
        ):
            with self.subTest(other=other):
                origin = ScriptedOrigin(other)
                proxy = self.proxy(origin)
                code, _, headers = proxy.ask("POST", "/w/1", b"x")
                self.assertEqual((503, "not-run"), (code, headers["wp-outcome"]))
                self.assertIn(proxy.ask("GET", "/a")[0], (502, 503))
                self.assertEqual({b"/health"}, {request.split()[1] for request in origin.requests})

    def test_without_the_instance_check_it_would_get_it(self):
        origin = ScriptedOrigin(answer(b"", Wp_Token="token-of-another"))
        with patch.object(Exchange, "check_instance", lambda *args: None):
            self.proxy(origin).ask("POST", "/w/1", b"x")
        self.assertEqual([b"/w/1"], [request.split()[1] for request in origin.requests])

    def test_another_origin_is_picked_and_the_write_runs_there(self):
        for _ in range(3):
            wrong, right = (
                ScriptedOrigin(answer(b"", Wp_Token="token-of-another")),
                ScriptedOrigin(self.mine, answer(b"done")),
            )
            self.assertEqual((200, b"done"), self.proxy(wrong, right).ask("POST", "/w/1", b"x")[:2])

    def test_a_request_reject_after_its_instance_check_sent_nothing(self):
        """The lease is looked at after the instance check, however long that took."""
        proxy = self.proxy(origin := ScriptedOrigin(self.mine))
        instance_check = Exchange.check_instance

        def slow(exchange, *args):
            instance_check(exchange, *args)
            proxy.clock.time += 2_000_000

        with patch.object(Exchange, "check_instance", slow):
            self.assertEqual(
                (503, "not-run"),
                (*(held := proxy.ask("POST", "/w/1", b"x"))[0:1], held[2]["wp-outcome"]),
            )
        self.assertEqual(1, len(origin.requests))


class WholeAnswers(unittest.TestCase):
    def test_short_wrong_and_endless_answers_never_become_a_success(self):
        good = b"the whole answer"
        for broken in (
            answer(good, length=len(good) + 1, Connection="close"),
            answer(good, Content_Digest=digest(b"another")),
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwho knows",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"garbage\r\n\r\n",
            None,
        ):
            with self.subTest(broken=broken):
                code, _, headers = ServedProxy(ScriptedOrigin(broken)).ask("GET", "/a")
                self.assertEqual(502, code)
                self.assertIn("retry-after", headers)

    def test_a_read_is_tried_elsewhere_and_the_whole_answer_is_forwarded(self):
        good = b"the whole answer"
        bad, fine = (
            ScriptedOrigin(answer(good, Content_Digest=digest(b"x"))),
            ScriptedOrigin(answer(good, Content_Digest=digest(good))),
        )
        for number in range(4):
            self.assertEqual((200, good), ServedProxy(bad, fine).ask("GET", f"/a{number}")[:2])

    def test_an_oversized_answer_streams_and_aborts_when_it_is_not_whole(self):
        body = bytes(range(256)) * 4000
        whole = ServedProxy(ScriptedOrigin(answer(body, Content_Digest=digest(body))))
        self.assertEqual((200, body), whole.ask("GET", "/big")[:2])
        for broken in (
            answer(body, length=len(body) + 10, Connection="close"),
            answer(body, Content_Digest=digest(b"x")),
        ):
            proxy = ServedProxy(ScriptedOrigin(broken))
            connection = socket.create_connection(proxy.address, timeout=5)
            connection.sendall(b"GET /big HTTP/1.1\r\nHost: h.example\r\n\r\n")
            got = b""
            while block := connection.recv(65536):
                got += block
            self.assertTrue(got.startswith(b"HTTP/1.1 200"))
            head, _, rest = got.partition(b"\r\n\r\n")
            length = int(
                next(
                    line
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ).split(b":")[1]
            )
            self.assertLess(len(rest), length)


class Caching(unittest.TestCase):
    def test_personal_answers_are_never_shared(self):
        for headers in (
            {"Cache_Control": "private, max-age=60"},
            {"Cache_Control": "no-store"},
            {"Set_Cookie": "a=b", "Cache_Control": "max-age=60"},
            {"Vary": "*", "Cache_Control": "max-age=60"},
        ):
            with self.subTest(headers=headers):
                proxy = ServedProxy(
                    ScriptedOrigin(answer(b"one", **headers), answer(b"two", **headers))
                )
                self.assertEqual([b"one", b"two"], [proxy.ask("GET", "/p")[1] for _ in range(2)])
        proxy = ServedProxy(
            ScriptedOrigin(
                answer(b"one", Cache_Control="max-age=60"),
                answer(b"two", Cache_Control="max-age=60"),
            )
        )
        self.assertEqual(
            [b"one", b"two"],
            [proxy.ask("GET", "/p", Authorization=user)[1] for user in ("u1", "u2")],
        )

    def test_a_caller_with_authorization_gets_nothing_kept_for_the_unknown_unless_it_is_public(
        self,
    ):
        proxy = ServedProxy(
            ScriptedOrigin(
                answer(b"anyone", Cache_Control="max-age=60"),
                answer(b"yours", Cache_Control="private"),
            )
        )
        self.assertEqual(
            [b"anyone", b"yours"],
            [proxy.ask("GET", "/p")[1], proxy.ask("GET", "/p", Authorization="u")[1]],
        )
        proxy = ServedProxy(
            ScriptedOrigin(answer(b"all", Cache_Control="public, max-age=60"), answer(b"other"))
        )
        self.assertEqual(
            [b"all", b"all"],
            [proxy.ask("GET", "/p")[1], proxy.ask("GET", "/p", Authorization="u")[1]],
        )

    def test_vary_keeps_variants_apart(self):
        proxy = ServedProxy(
            ScriptedOrigin(
                answer(b"en", Vary="Accept-Language", Cache_Control="max-age=9"),
                answer(b"de", Vary="Accept-Language", Cache_Control="max-age=9"),
            )
        )
        asked = [
            proxy.ask("GET", "/v", Accept_Language=tongue)[1] for tongue in ("en", "de", "en", "de")
        ]
        self.assertEqual([b"en", b"de", b"en", b"de"], asked)

    def test_an_entry_ages_and_is_revalidated_past_its_keep_time(self):
        proxy = ServedProxy(
            ScriptedOrigin(
                answer(b"one", Cache_Control="max-age=10", Age="4", ETag='"1"'),
                b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\nCache-Control: max-age=10\r\n\r\n',
                answer(b"two"),
            )
        )
        self.assertEqual("4", proxy.ask("GET", "/a")[2]["age"])
        proxy.clock.time += 5_000_000
        proxy.node_state.fresh_as_of = proxy.clock.time
        self.assertEqual(
            ("hit", "9"), tuple(proxy.ask("GET", "/a")[2][name] for name in ("wp-cache", "age"))
        )
        proxy.clock.time += 2_000_000
        proxy.node_state.fresh_as_of = proxy.clock.time
        code, body, headers = proxy.ask("GET", "/a")
        self.assertEqual((200, b"one", "miss"), (code, body, headers["wp-cache"]))

    def test_equal_reads_collapse_into_one(self):
        origin = ScriptedOrigin(answer(b"one", Cache_Control="max-age=60"))
        proxy = ServedProxy(origin)
        tasks = [gevent.spawn(proxy.ask, "GET", "/c") for _ in range(20)]
        self.assertEqual({b"one"}, {task.get()[1] for task in tasks})
        self.assertEqual(1, len(origin.requests))

    def test_a_purge_beats_a_fetch_begun_before_it(self):
        proxy = ServedProxy()

        class PurgingOrigin(ScriptedOrigin):
            def _serve(self, connection, source):
                connection.recv(65536)
                tables, _ = apply_operation(
                    Tables(slot=6, epoch=1), PurgeCache(kind="item", host="*", path="/r")
                )
                # the state updates comes while the origin is still answering
                proxy.cache.purge(tables)
                connection.sendall(answer(b"old", Cache_Control="max-age=60", Connection="close"))

        proxy.set_origins([PurgingOrigin()])
        proxy.ask("GET", "/r")
        self.assertIsNone(proxy.cache.find(CacheKey("h.example", "/r", "g"), {}))


class Freshness(unittest.TestCase):
    def test_without_a_lease_nothing_is_forwarded_not_even_from_the_cache(self):
        origin = ScriptedOrigin(answer(b"one", Cache_Control="max-age=60"))
        proxy = ServedProxy(origin)
        proxy.ask("GET", "/a")
        proxy.clock.time += 1_600_000
        code, _, headers = proxy.ask("GET", "/a")
        self.assertEqual((503, True), (code, "retry-after" in headers))
        self.assertEqual(503, proxy.ask("POST", "/w/1", b"x")[0])
        self.assertEqual(1, len(origin.requests))

    def test_a_freeze_between_the_plan_and_the_first_byte_rejects_the_write(self):
        origin = ScriptedOrigin(answer())
        proxy = ServedProxy(origin)
        take = proxy.quota_admission.admit

        def freeze(*args):
            proxy.clock.time += 5_000_000
            return take(*args)

        proxy.quota_admission.admit = freeze
        code, _, headers = proxy.ask("POST", "/w/1", b"x")
        self.assertEqual((503, "not-run"), (code, headers["wp-outcome"]))
        self.assertEqual([], origin.requests)

    def test_an_origin_out_of_force_is_not_reached_by_a_pooled_connection(self):
        origin = ScriptedOrigin(answer(b"one", Cache_Control="no-store"))
        proxy = ServedProxy(origin)
        proxy.ask("GET", "/a")
        proxy.set_origins([])
        proxy.pool.retain_only(proxy.node_state.snapshot.origins)
        self.assertEqual(503, proxy.ask("GET", "/a")[0])
        self.assertEqual({}, proxy.pool.idle)
        self.assertEqual(1, len(origin.requests))


class Malformed(unittest.TestCase):
    def test_each_wrong_request_gets_its_own_answer(self):
        proxy = ServedProxy(ScriptedOrigin(answer()))
        for raw, code in (
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: other.example\r\n\r\n", 404),
            (b"PUT /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n", 405),
            (b"POST /w HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5000\r\n\r\n", 413),
            (b"POST /w HTTP/1.1\r\nHost: h.example\r\nContent-Length: x\r\n\r\n", 400),
            (
                b"POST /w HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
        ):
            with self.subTest(raw=raw):
                connection = socket.create_connection(proxy.address, timeout=5)
                connection.sendall(raw)
                self.assertEqual(str(code).encode(), connection.recv(65536).split(b" ")[1])


if __name__ == "__main__":
    unittest.main()
