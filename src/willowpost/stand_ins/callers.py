"""Callers with the day's mix.

Each answer carries its identity, so a wrong or mixed one is noticed.
"""

import json
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from willowpost.common.clock import SECOND, Clock
from willowpost.shell.addresses import split_address
from willowpost.stand_ins.http_call import OK, SERVER_ERROR, ask

CONNECT_SECONDS, ANSWER_SECONDS = 1.0, 10.0
HEALTH_SECONDS = 0.25  # between two looks at an edge
MAX_CALLS = 2000  # in flight
MAX_VERSIONS = 200_000  # remembered
USERS = 500
POPULARITY = 1.1  # exponent of the items' Pareto distribution


@dataclass(slots=True)
class Tally:
    """What the callers saw; every request ends in exactly one of the counts of `outcomes`.

    Attributes:
        outcomes: requests by status, or "connection".
        latencies: (when it began, how long it took) of each request, in µs.
        wrong: answers that were wrong.
        not_run: ids of writes that were told not to have run.
        unknown: ids of writes of which that is not known.
        done: ids of writes that were answered with success.
        refusals: (when, status, reason) of each.
        versions: (when it began, version, path, cache state, edge) of shared answers.
        per_edge: edge to the requests in each second.
        dropped: (when, edge, what) of connections that broke.
    """

    outcomes: Counter[int | str] = field(default_factory=Counter)
    latencies: list[tuple[int, int]] = field(default_factory=list)
    wrong: list[tuple[int, str, str, str]] = field(default_factory=list)
    not_run: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    refusals: list[tuple[int, int, str]] = field(default_factory=list)
    versions: deque[tuple[int, Any, str, str | None, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_VERSIONS)
    )
    per_edge: dict[str, Counter[int]] = field(default_factory=dict)
    dropped: list[tuple[int, str, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Call:
    """One request of the mix.

    Attributes:
        kind: the entry of the mix.
        edge: where it is sent.
        path: of the request.
        user: who asks; empty for anybody.
        identity: of the write.
        began: when, in µs.
    """

    kind: dict[str, Any]
    edge: str
    path: str
    user: str
    identity: str
    began: int

    @property
    def is_write(self) -> bool:
        """Whether it may run only once."""
        return bool(self.kind["method"] == "POST")

    def is_answered_by(self, echo: dict[str, Any]) -> bool:
        """Whether an answer's identity is this request's."""
        return (
            echo.get("path") == self.path
            and echo.get("user") == self.user
            and echo.get("service") == self.kind["service"]
            and echo.get("wrote") == (self.identity if self.is_write else None)
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it came; headers in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Callers:
    """Sends the mix at a steady rate to the edges that call themselves sound.

    As the platform's balancer would.

    Args:
        clock: the machine's clock.
        edges: addresses of the edges.
        mix: the kinds of requests, with their shares.
        host: that they ask for.
        rate: requests a second.
        seed: of the choices.
    """

    def __init__(
        self,
        clock: Clock,
        edges: list[str],
        mix: list[dict[str, Any]],
        host: str,
        rate: float,
        seed: int = 1,
    ) -> None:
        self.clock, self.edges, self.mix, self.host, self.rate = clock, edges, mix, host, rate
        self.chance = random.Random(seed)
        self.tally = Tally()
        self.sound: list[str] = []
        self.pool = Pool(MAX_CALLS)
        self.clients: dict[str, list[HTTPClient]] = {}
        self.running = False
        self.counter = 0
        self.weights = [kind["share"] for kind in mix]

    def start(self) -> None:
        """Begin to look at the edges and to send requests."""
        self.running = True
        for edge in self.edges:
            gevent.spawn(self._look, edge)
        gevent.spawn(self._drive)

    def stop(self) -> None:
        """Send no more, and wait for answers up to ten seconds."""
        self.running = False
        self.pool.join(timeout=10)

    def _look(self, edge: str) -> None:
        while True:
            reply = ask(edge, "GET", "/.wp/health", seconds=CONNECT_SECONDS)
            sound = reply is not None and reply[0] == OK
            if sound and edge not in self.sound:
                self.sound = [*self.sound, edge]
            elif not sound:
                self.sound = [other for other in self.sound if other != edge]
            gevent.sleep(HEALTH_SECONDS)

    def _drive(self) -> None:
        due = self.clock.now()
        while self.running:
            due += int(self.chance.expovariate(self.rate) * SECOND)
            wait = due - self.clock.now()
            if wait > 0:
                gevent.sleep(wait / SECOND)
            self.pool.spawn(self._call, self.chance.choices(self.mix, self.weights)[0])

    def _call(self, kind: dict[str, Any]) -> None:
        """Makes one call; its edge is chosen when it leaves.

        One that waited for its turn must not go by what was sound when it was due.
        """
        if not self.sound:
            return
        call = self._drawn(kind)
        answer = self._send(call)
        self.tally.latencies.append((call.began, self.clock.now() - call.began))
        self.tally.per_edge.setdefault(call.edge, Counter())[call.began // SECOND] += 1
        self._judge(call, answer)

    def _drawn(self, kind: dict[str, Any]) -> Call:
        edge = self.chance.choice(self.sound)
        self.counter += 1
        item = min(int(self.chance.paretovariate(POPULARITY)), kind["items"])
        user = f"user-{self.chance.randrange(USERS)}" if kind.get("personal") else ""
        path, identity = f"{kind['path']}/{item}", f"w{self.counter}"
        return Call(kind, edge, path, user, identity, self.clock.now())

    def _judge(self, call: Call, answer: Answer | str) -> None:
        tally = self.tally
        if isinstance(answer, str):
            tally.outcomes["connection"] += 1
            tally.dropped.append((call.began, call.edge, answer))
            if call.is_write:
                tally.unknown.add(call.identity)
            return
        tally.outcomes[answer.status] += 1
        if answer.status == OK:
            self._judge_success(call, answer)
        else:
            self._judge_refusal(call, answer)

    def _judge_success(self, call: Call, answer: Answer) -> None:
        tally = self.tally
        try:
            echo = json.loads(answer.body.partition(b"\n")[0])
        except ValueError:
            echo = {}
        if not call.is_answered_by(echo):
            shown = answer.body[:120].decode(errors="replace")
            tally.wrong.append((call.began, call.edge, call.path, shown))
        if call.is_write:
            tally.done.add(call.identity)
        elif not call.user:
            cache_state = answer.headers.get("wp-cache")
            tally.versions.append(
                (call.began, echo.get("version"), call.path, cache_state, call.edge)
            )

    def _judge_refusal(self, call: Call, answer: Answer) -> None:
        tally, headers, status = self.tally, answer.headers, answer.status
        reason = answer.body[:100].decode(errors="replace")
        tally.refusals.append((call.began, status, reason))
        if call.is_write:
            is_not_run = headers.get("wp-outcome") == "not-run"
            (tally.not_run if is_not_run else tally.unknown).add(call.identity)
        if "retry-after" not in headers and "wp-cache" not in headers and status >= SERVER_ERROR:
            shown = f"{status} without Retry-After: {reason}"
            tally.wrong.append((call.began, call.edge, call.path, shown))

    def _send(self, call: Call) -> Answer | str:
        """Returns the answer, or what broke the connection."""
        idle_clients = self.clients.setdefault(call.edge, [])
        client = idle_clients.pop() if idle_clients else self._client(call.edge)
        headers = {"Host": self.host}
        if call.user:
            headers["Authorization"] = call.user
        body = json.dumps({"id": call.identity}) if call.is_write else ""
        try:
            reply = client.request(
                call.kind["method"], call.path, body=body.encode(), headers=headers
            )
            text = bytes(reply.read())
            held = {name.lower(): value for name, value in reply.headers}
            idle_clients.append(client)
            return Answer(reply.status_code, held, text)
        except Exception as problem:  # refused, reset, short: the caller sees a dropped request
            client.close()
            return f"{type(problem).__name__}: {problem}"

    def _client(self, edge: str) -> HTTPClient:
        return HTTPClient(
            *split_address(edge),
            connection_timeout=CONNECT_SECONDS,
            network_timeout=ANSWER_SECONDS,
            concurrency=1,
        )
