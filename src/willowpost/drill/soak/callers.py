"""The soak's callers: they keep their connections until these end, and some leave early."""

import random
from dataclasses import dataclass, field

import gevent
from gevent import socket

from willowpost.common.clock import Clock
from willowpost.shell.addresses import split_address
from willowpost.stand_ins.http_call import OK, SERVER_ERROR
from willowpost.stand_ins.origin import WORK_PARAMETER

ANSWER_SECONDS = 12.0
CONNECT_SECONDS = 1.0
MAX_PIPELINED = 4
LEAVING_SHARE = 0.25  # of the turns: the caller leaves before it is answered
LEAVE_AFTER_SECONDS = (0.0, 0.6)
TURN_PAUSE_SECONDS = 0.15  # in the mean
RETRY_SECONDS = 0.2
LONG_SHARE = 0.1  # of the requests outside the cache: origins work on them for long
LONG_WORK_MS = (1500, 3500)
RECEIVE_BYTES = 65536
FINAL_STATUS = 200  # RFC 9110, 15.2: lower ones are interim
ONCE, REPEATABLE, KEPT = "once", "repeatable", "kept"
PATHS = {ONCE: "/once/", REPEATABLE: "/again/", KEPT: "/kept/"}
ITEMS = 30


@dataclass(slots=True)
class Sent:
    """One request.

    Attributes:
        kind: ONCE, REPEATABLE or KEPT.
        edge: The edge's address.
        sent_at: By the machine's clock, in µs.
        left_at: When the caller closed the connection without having been answered; None: it waits.
        status: Of its answer; None without one.
        path: What the answer must be of.
        alone: Whether it was first on its connection's pipeline.
        ended: Why there was no answer; empty if there was.
    """

    kind: str
    edge: str
    sent_at: int
    path: str
    left_at: int | None = None
    status: int | None = None
    alone: bool = True
    ended: str = ""


@dataclass(slots=True)
class CallerTally:
    """What all callers sent, by the request's id, and answers that were wrong."""

    sent: dict[str, Sent] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)


class AnswerEndedError(Exception):
    """The connection ended, or what came is no answer."""


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, edge: str) -> None:
        self.socket = socket.create_connection(split_address(edge), timeout=CONNECT_SECONDS)
        self.socket.settimeout(ANSWER_SECONDS)
        self.unread = b""

    def read(self) -> tuple[int, dict[str, str], bytes]:
        """The next final answer: status, headers in lower case, body.

        Raises:
            AnswerEndedError: The connection ended, or what came is no answer.
        """
        while True:
            status, headers = self._head()
            if status >= FINAL_STATUS:
                return status, headers, self._body(int(headers.get("content-length", "0")))

    def _head(self) -> tuple[int, dict[str, str]]:
        while b"\r\n\r\n" not in self.unread:
            self._receive()
        head, _, self.unread = self.unread.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        if not first.startswith("HTTP/1.1 "):
            raise AnswerEndedError(f"no answer: {first[:60]}")
        pairs = (line.partition(":") for line in lines)
        return int(first.split(" ")[1]), {name.lower(): value.strip() for name, _, value in pairs}

    def _body(self, length: int) -> bytes:
        while len(self.unread) < length:
            self._receive()
        body, self.unread = self.unread[:length], self.unread[length:]
        return body

    def _receive(self) -> None:
        try:
            block = self.socket.recv(RECEIVE_BYTES)
        except OSError as problem:
            raise AnswerEndedError(repr(problem)) from problem
        if not block:
            raise AnswerEndedError("closed")
        self.unread += block


class SoakCallers:
    """Many callers, each with one connection at a time.

    A caller goes on using its connection until that ends, whatever the proxy behind it is doing.

    Args:
        clock: The machine's clock.
        edges: Addresses of the edges.
        host: The configuration's host.
        count: How many callers there are.
        seed: Of their choices.
    """

    def __init__(self, clock: Clock, edges: list[str], host: str, count: int, seed: int) -> None:
        self.clock, self.edges, self.host = clock, edges, host
        self.chances = [random.Random(f"caller {seed} {number}") for number in range(count)]
        self.tally = CallerTally()
        self.running = False
        self.tasks: list[gevent.Greenlet] = []
        self.number = 0

    def start(self) -> None:
        """Begin to call."""
        self.running = True
        self.tasks = [gevent.spawn(self._run, chance) for chance in self.chances]

    def stop(self) -> None:
        """Send no more, and wait until every request has been answered or given up."""
        self.running = False
        gevent.joinall(self.tasks, timeout=ANSWER_SECONDS + CONNECT_SECONDS + 1)

    def ask_once(self, connection: CallerConnection, edge: str, work_ms: int) -> None:
        """Send one request that may run only once, and read its answer.

        Args:
            connection: To the edge; nothing is under way on it.
            edge: The edge's address.
            work_ms: How long its origin works on it.

        Raises:
            OSError: It could not be sent.
            AnswerEndedError: There was no answer.
        """
        self.number += 1
        name, path = f"s{self.number}", f"{PATHS[ONCE]}0"
        sent = self.tally.sent[name] = Sent(ONCE, edge, self.clock.now(), path)
        try:
            target = f"{path}?{WORK_PARAMETER}={work_ms}"
            connection.socket.sendall(self._request(ONCE, name, target))
            sent.status, headers, body = connection.read()
        except OSError as problem:
            sent.ended = f"not sent: {problem!r}"
            raise
        except AnswerEndedError as end:
            sent.ended = str(end)
            raise
        self._judge(name, sent, sent.status, headers, body)

    def _run(self, chance: random.Random) -> None:
        while self.running:
            edge = chance.choice(self.edges)
            try:
                connection = CallerConnection(edge)
            except OSError:
                gevent.sleep(RETRY_SECONDS)
                continue
            try:
                while self.running and self._turn(connection, edge, chance):
                    gevent.sleep(chance.expovariate(1 / TURN_PAUSE_SECONDS))
            finally:
                connection.socket.close()

    def _turn(self, connection: CallerConnection, edge: str, chance: random.Random) -> bool:
        """Sends some requests and reads their answers; whether the connection goes on."""
        names = self._send(connection, edge, chance)
        if not names:
            return False
        if chance.random() < LEAVING_SHARE:
            gevent.sleep(chance.uniform(*LEAVE_AFTER_SECONDS))
            for name in names:
                self.tally.sent[name].left_at = self.clock.now()
            return False
        for number, name in enumerate(names):
            sent = self.tally.sent[name]
            try:
                status, headers, body = connection.read()
            except AnswerEndedError as end:
                for rest in names[number:]:
                    self.tally.sent[rest].ended = str(end)
                return False
            sent.status = status
            self._judge(name, sent, status, headers, body)
            if headers.get("connection", "") == "close":
                for rest in names[number + 1 :]:
                    self.tally.sent[rest].ended = "behind a close"
                return False
        return True

    def _send(self, connection: CallerConnection, edge: str, chance: random.Random) -> list[str]:
        """Sends some requests of one kind at once; returns their ids, none if that failed."""
        kind = chance.choices((KEPT, REPEATABLE, ONCE), (5, 3, 2))[0]
        count = 1 if kind == ONCE else chance.choice((1, 1, 1, MAX_PIPELINED))
        names, text = [], b""
        for place in range(count):
            self.number += 1
            name = f"s{self.number}"
            path = f"{PATHS[kind]}{chance.randrange(ITEMS)}"
            text += self._request(kind, name, path + _work(kind, chance))
            self.tally.sent[name] = Sent(kind, edge, self.clock.now(), path, alone=place == 0)
            names.append(name)
        try:
            connection.socket.sendall(text)
        except OSError as problem:
            for name in names:
                self.tally.sent[name].ended = f"not sent: {problem!r}"
            return []
        return names

    def _request(self, kind: str, name: str, path: str) -> bytes:
        body = b'{"id": "%b"}' % name.encode() if kind == ONCE else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        method = "POST" if kind == ONCE else "GET"
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nWp-Request: {name}\r\n"
        return f"{head}{length}\r\n".encode() + body

    def _judge(
        self, name: str, sent: Sent, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        if headers.get("wp-request", name) != name:
            self.tally.wrong.append(f"{name} got the answer of {headers['wp-request']}")
        if status == OK and sent.path.encode() not in body:
            self.tally.wrong.append(f"{name}: {sent.path} got {body[:80]!r}")
        if status >= SERVER_ERROR and "retry-after" not in headers:
            self.tally.wrong.append(f"{name}: {status} without Retry-After")


def _work(kind: str, chance: random.Random) -> str:
    """Returns the query of a request, which may ask for long work."""
    if kind == KEPT or chance.random() >= LONG_SHARE:
        return ""
    return f"?{WORK_PARAMETER}={chance.randint(*LONG_WORK_MS)}"
