"""The soak's uploads: clients of each edge that send large bodies, with a length or in chunks."""

import random

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.soak.callers import (
    ANSWER_SECONDS,
    LONG_SHARE,
    LONG_WORK_MS,
    ONCE,
    RETRY_SECONDS,
    AnswerEndedError,
    CallerConnection,
    CallerTally,
    Sent,
)
from willowpost.drill.soak.fleet import HOST
from willowpost.stand_ins.origin import WORK_PARAMETER

UPLOADERS_EACH_EDGE = 3
UPLOAD_PATH = "/upload/"
MEBIBYTE = 1024 * 1024
SIZES = (MEBIBYTE // 8, MEBIBYTE, 4 * MEBIBYTE, 16 * MEBIBYTE, 32 * MEBIBYTE)
SIZE_WEIGHTS = (4, 4, 3, 2, 1)
CHUNK_SIZES = (None, None, 4096, 65536, MEBIBYTE)  # None: with a length
PAUSE_SECONDS = 0.4  # between two uploads of one client, in the mean
JSON_BYTES = 30  # of an upload besides its id and its padding


class Uploads:
    """Clients that upload; their requests may run only once, and stand in the callers' tally.

    Args:
        clock: The machine's clock.
        edges: Addresses of the edges.
        tally: Of all callers.
        seed: Of the choices.
    """

    def __init__(self, clock: Clock, edges: list[str], tally: CallerTally, seed: int) -> None:
        self.clock, self.tally = clock, tally
        self._clients = [
            (edge, random.Random(f"upload {seed} {edge} {number}"))
            for edge in edges
            for number in range(UPLOADERS_EACH_EDGE)
        ]
        self._is_running = False
        self._tasks: list[gevent.Greenlet] = []
        self._number = 0

    def start(self) -> None:
        """Begin to upload."""
        self._is_running = True
        self._tasks = [gevent.spawn(self._run, *client) for client in self._clients]

    def stop(self) -> None:
        """Begin no more uploads, and wait until each has been answered or given up."""
        self._is_running = False
        gevent.joinall(self._tasks, timeout=2 * ANSWER_SECONDS)

    def _run(self, edge: str, chance: random.Random) -> None:
        while self._is_running:
            try:
                connection = CallerConnection(edge)
            except OSError:
                gevent.sleep(RETRY_SECONDS)
                continue
            try:
                self._upload(connection, edge, chance)
            finally:
                connection.socket.close()
            gevent.sleep(chance.expovariate(1 / PAUSE_SECONDS))

    def _upload(self, connection: CallerConnection, edge: str, chance: random.Random) -> None:
        self._number += 1
        name, path = f"u{self._number}", f"{UPLOAD_PATH}{self._number}"
        sent = self.tally.sent[name] = Sent(ONCE, edge, self.clock.now(), path)
        size = chance.choices(SIZES, SIZE_WEIGHTS)[0]
        work_ms = chance.randint(*LONG_WORK_MS) if chance.random() < LONG_SHARE else 0
        target = f"{path}?{WORK_PARAMETER}={work_ms}"
        try:
            self._send(connection, name, target, size, chance.choice(CHUNK_SIZES))
            sent.status, _, body = connection.read()
            if sent.status == 200 and path.encode() not in body:
                self.tally.wrong.append(f"{name}: {path} got {body[:80]!r}")
        except OSError as problem:
            sent.ended = f"not sent: {problem!r}"
        except AnswerEndedError as end:
            sent.ended = str(end)

    def _send(
        self, connection: CallerConnection, name: str, target: str, size: int, chunk: int | None
    ) -> None:
        body = b'{"id": "%b", "padding": "%b"}' % (name.encode(), b"x" * (size - JSON_BYTES))
        framing = "Transfer-Encoding: chunked" if chunk else f"Content-Length: {len(body)}"
        head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nWp-Request: {name}\r\n{framing}\r\n\r\n"
        connection.socket.sendall(head.encode())
        if chunk is None:
            connection.socket.sendall(body)
            return
        for start in range(0, len(body), chunk):
            block = body[start : start + chunk]
            connection.socket.sendall(b"%x\r\n%b\r\n" % (len(block), block))
        connection.socket.sendall(b"0\r\n\r\n")
