"""An origin that cuts, repeats, interleaves and resets at every byte, by hypothesis.

Derandomized: the same examples, hence the same verdict, every time.
"""

import unittest
from dataclasses import dataclass
from itertools import pairwise

import gevent
from gevent import socket
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.support.scripted_proxy import Scripted, echoed, head, sealed
from willowpost.proxy.client.response_queue import INTERIM_RESPONSE as INTERIM_ANSWER
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.exchange import Exchange
from willowpost.proxy.origin.request import OriginRequest
from willowpost.proxy.origin.response import RequestIdEcho
from willowpost.proxy.origin.response_reader import MAX_SKIPPED_RESPONSES
from willowpost.proxy.request_body import RequestBody

ID = "mine"
ECHO = RequestIdEcho("wp-request", ID)
REPEATED = settings(derandomize=True, deadline=None, database=None, max_examples=1000)
SERVED = settings(derandomize=True, deadline=None, database=None, max_examples=60)
WHOLE_MAX = 300


class StreamOfBytes:
    """The stream interface of a connection, without a socket."""

    def __init__(self, blocks, end, send_breaks=False):
        self.blocks, self.end, self.send_breaks = list(blocks), end, send_breaks
        self.sent = b""
        self.closed = False

    def settimeout(self, seconds):
        pass

    def sendall(self, data):
        if self.send_breaks:
            self.sent += data[: len(data) // 2]
            raise BrokenPipeError("the origin does not read on")
        self.sent += data

    def recv(self, size):
        if self.blocks:
            return self.blocks.pop(0)
        if self.end == "reset":
            raise ConnectionResetError("reset")
        if self.end == "silence":
            raise TimeoutError("deadline")
        return b""

    def close(self):
        self.closed = True


@dataclass(frozen=True)
class Script:
    """What one origin sends. `ours`: (status, body), or None where it never answers us."""

    data: bytes
    ours: tuple | None
    foreign: int
    clean: bool  # nothing but one whole answer of ours, which keeps the connection
    late: bool  # but for bytes behind it, it is clean
    end: str
    cuts: tuple
    reused: bool
    send_breaks: bool

    def blocks(self):
        places = sorted({min(cut, len(self.data)) for cut in self.cuts} | {0, len(self.data)})
        return [self.data[start:stop] for start, stop in pairwise(places)]


def framed(status, body, name, chunked, close=False):
    """One answer; with `chunked`, in two chunks."""
    lines = [b"HTTP/1.1 %d X" % status, b"Wp-Seal: s"]
    lines += [b"Wp-Request: " + name] if name else []
    lines += [b"Connection: close"] if close else []
    if chunked:
        half = len(body) // 2
        pieces = [piece for piece in (body[:half], body[half:]) if piece]
        framed_body = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        return b"\r\n".join(
            [*lines, b"Transfer-Encoding: chunked", b"", framed_body + b"0\r\n\r\n"]
        )
    return b"\r\n".join([*lines, b"Content-Length: %d" % len(body), b"", body])


# bodies that hold whole answers, ours too, show a reader that loses its place
TRAPS = (b"", b"x", framed(200, b"trap", ID.encode(), False), framed(200, b"t", b"o", True) * 2)
BODIES = st.sampled_from(TRAPS) | st.binary(max_size=40) | st.just(b"big" * 200)
STATUSES = st.sampled_from((200, 206, 404, 500, 503))
INTERIM = st.lists(st.sampled_from((100, 102, 103)), max_size=2).map(
    lambda codes: b"".join(b"HTTP/1.1 %d X\r\nLink: y\r\n\r\n" % code for code in codes)
)


@st.composite
def scripts(draw):
    foreign = draw(st.integers(0, MAX_SKIPPED_RESPONSES + 1))
    data = b""
    for _ in range(foreign):
        data += draw(INTERIM) + framed(draw(STATUSES), draw(BODIES), b"other", False)
    status, body = draw(STATUSES), draw(BODIES)
    close = draw(st.booleans())
    data += draw(INTERIM) + framed(status, body, ID.encode(), draw(st.booleans()), close)
    behind = draw(st.sampled_from((b"", b"", b"junk", framed(200, b"late", b"other", False))))
    whole = len(data)
    data += behind
    kept = draw(st.sampled_from((len(data), len(data), draw(st.integers(0, len(data))))))
    send_breaks = draw(st.integers(0, 9)) == 0
    return Script(
        data[:kept],
        (status, body) if kept >= whole and foreign <= MAX_SKIPPED_RESPONSES else None,
        foreign,
        not (foreign or data[whole:kept] or close or send_breaks),
        not (foreign or close or send_breaks),
        draw(st.sampled_from(("close", "reset", "silence"))),
        tuple(draw(st.lists(st.integers(0, len(data)), max_size=6))),
        draw(st.booleans()),
        send_breaks,
    )


def run(script):
    """(answer, its whole body, exchange, connection), or the failure in place of the answer."""
    connection = StreamOfBytes(script.blocks(), script.end, script.send_breaks)
    exchange = Exchange("127.0.0.1:1", connection)
    exchange.is_reused = script.reused
    try:
        answer = exchange.run(
            OriginRequest("POST", "/a", [], RequestBody((b"b" * 10,))), 5.0, WHOLE_MAX, ECHO
        )
    except ExchangeError as failure:
        return failure, None, exchange, connection
    try:
        body = answer.body if answer.stream is None else b"".join(answer.stream)
    except Exception:
        body = None  # broke off, and is seen to
    return answer, body, exchange, connection


class Bytes(unittest.TestCase):
    @REPEATED
    @given(scripts())
    def test_an_answer_is_ours_to_the_byte_or_a_failure_that_says_sent(self, script):
        found, body, exchange, connection = run(script)
        if isinstance(found, ExchangeError):
            self.assertTrue(found.was_sent)
            self.assertTrue(found.may_have_executed)
            self.assertIsNone(script.ours, "a whole answer of ours was lost")
            self.assertFalse(exchange.is_reusable)
            return
        if body is not None:
            self.assertEqual(script.ours, (found.status, body))
        else:
            self.assertIsNone(script.ours)
        if found.stream is None:
            # bytes that have not come yet are for the pool to see, before it gives the connection out
            if exchange.is_reusable:
                self.assertTrue(script.clean or (script.late and connection.blocks))
            else:
                self.assertFalse(script.clean)
        self.assertEqual(1, connection.sent.count(b"POST /a"))

    @settings(REPEATED, max_examples=300)
    @given(st.sampled_from((b"other", b"")), BODIES, st.integers(0, 400))
    @example(b"", b"x", 0)
    def test_no_answer_of_another_passes_on_a_reused_connection(self, name, body, cut):
        data = framed(200, body, name, False)
        script = Script(data, None, 1, False, False, "close", (cut,), True, False)
        self.assertIsInstance(run(script)[0], ExchangeError)

    def test_with_the_id_unchecked_the_fuzzer_finds_it(self):
        class Blind(RequestIdEcho):
            __slots__ = ()

            def names_other_request(self, headers):
                return False

        theirs = framed(200, b"theirs", b"other", False)
        script = Script(theirs, None, 1, False, False, "close", (), False, False)
        connection = StreamOfBytes(script.blocks(), script.end)
        exchange = Exchange("127.0.0.1:1", connection)
        exchange.is_reused = False
        blind = Blind("wp-request", ID)
        held = exchange.run(OriginRequest("GET", "/a", []), 5.0, WHOLE_MAX, blind)
        self.assertEqual(b"theirs", held.body)


@dataclass(frozen=True)
class Step:
    """One request of a pipelining caller and what its origin does with it."""

    path: str  # again | kept | once
    does: str  # answers | fails | closes | junk | foreign | closing
    turns: int  # how often its origin lets others go first


STEPS = st.builds(
    Step,
    st.sampled_from(("again", "kept", "once")),
    st.sampled_from(("answers", "answers", "fails", "closes", "junk", "foreign", "closing")),
    st.integers(0, 12),
)


def behave(step_of, under_way, overlaps):
    """The origin's answers: by the request's target, which names its step.

    `overlaps` gets the paths that may run once and came while others were `under_way`.
    """

    def answered(request):
        path = request.split(b" ")[1]
        if step_of[path].path == "once" and under_way:
            overlaps.append(path)
        under_way.append(path)
        for _ in range(step_of[path].turns):
            gevent.sleep(0)
        under_way.remove(path)
        name = head(request, b"wp-request")
        does = step_of[path].does
        return {
            "answers": sealed(path, name=name),
            "fails": sealed(b"failed", "500 Oops", name=name),
            "closes": None,
            "junk": b"junk\r\n\r\n",
            "foreign": sealed(b"theirs", name="other") + sealed(path, name=name),
            "closing": sealed(path, name=name, connection="close"),
        }[does]

    return answered


def caller_request(path, number):
    """A POST with a body on the route that runs once, a GET elsewhere."""
    once = path.startswith(b"/once")
    return b"%b %b HTTP/1.1\r\nHost: h.example\r\nWp-Request: n%d\r\n%b" % (
        b"POST" if once else b"GET",
        path,
        number,
        b"Content-Length: 1\r\n\r\nx" if once else b"\r\n",
    )


def answers_of(data):
    """(status, id, body) of each whole answer in what a caller was sent.

    Interim answers are none (RFC 9110, 15.2); a caller that has ended its side may get some.
    """
    found, data = [], data.replace(INTERIM_ANSWER, b"")
    while data:
        top, _, rest = data.partition(b"\r\n\r\n")
        length = int(head(top + b"\r\n", b"content-length"))
        found.append((int(top.split(b" ")[1]), head(top + b"\r\n", b"wp-request"), rest[:length]))
        data = rest[length:]
    return found


class Pipelined(Scripted):
    @SERVED
    @given(st.lists(STEPS, min_size=1, max_size=7))
    def test_answers_come_in_order_each_to_its_own_request(self, steps):
        step_of = {b"/%s/%d" % (s.path.encode(), i): s for i, s in enumerate(steps)}
        overlaps = []
        answered = behave(step_of, [], overlaps)
        proxy = self.served((answered,), (answered,))
        connection = socket.create_connection(proxy.address, timeout=5)
        for number, path in enumerate(step_of):
            connection.sendall(caller_request(path, number))
        connection.shutdown(socket.SHUT_WR)
        data = b""
        while block := connection.recv(65536):
            data += block
        connection.close()
        found = answers_of(data)
        self.assertEqual([f"n{number}" for number in range(len(steps))], [f[1] for f in found])
        self.assertEqual([], overlaps)
        for (path, step), (status, _, body) in zip(step_of.items(), found, strict=True):
            self._check(path, step, status, body)
        proxy.stop()

    def _check(self, path, step, status, body):
        if status == 200:
            self.assertEqual(path, body)
            self.assertIn(step.does, ("answers", "foreign", "closing"))
        if step.does in ("answers", "foreign", "closing"):
            self.assertEqual(200, status)
        ran = sum(request.split(b" ")[1] == path for request in self.asked())
        if step.path == "once":
            self.assertEqual(1, ran)
            self.assertNotIn(status, (408, 421, 429, 503))
        self.assertLessEqual(ran, 2)

    @SERVED
    @given(st.lists(st.booleans(), min_size=2, max_size=6))
    def test_joined_reads_get_one_body_and_each_its_own_id(self, personal):
        proxy = self.served((echoed,))
        gate = gevent.event.Event()
        self.origins[0].hold = lambda request: gate.wait()
        tasks = [
            gevent.spawn(
                proxy.ask,
                "GET",
                "/kept/1",
                wp_request=f"n{number}",
                **({"cookie": "a=b"} if own else {}),
            )
            for number, own in enumerate(personal)
        ]
        alone = sum(personal) + (not all(personal))
        with gevent.Timeout(5):
            while len(self.asked()) < alone:
                gevent.sleep(0.001)
        gate.set()
        for number, task in enumerate(tasks):
            code, body, headers = task.get(timeout=5)
            self.assertEqual((200, b"/kept/1", f"n{number}"), (code, body, headers["wp-request"]))
        self.assertEqual(alone, len(self.asked()))
        proxy.stop()


if __name__ == "__main__":
    unittest.main()
