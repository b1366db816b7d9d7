"""Callers with the day's mix.

Each answer carries its identity, so a wrong or mixed one is noticed.
"""

import json
import random
from collections import Counter, deque
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from willowpost.shell.addresses import split_address


@dataclass(slots=True)
class Tally:
    """Invariant: every request begun ends in exactly one of the counts of `outcomes`."""

    outcomes: Counter = field(default_factory=Counter)
    latencies: list = field(default_factory=list)
    wrong: list = field(default_factory=list)
    not_run: set = field(default_factory=set)
    unknown: set = field(default_factory=set)
    done: set = field(default_factory=set)
    refusals: list = field(default_factory=list)  # (moment, code, reason)
    # (began, version, path, cache)
    versions: deque = field(default_factory=lambda: deque(maxlen=200_000))
    per_edge: dict = field(default_factory=dict)
    dropped: list = field(default_factory=list)  # (moment, edge, what)


class Callers:
    """Sends the mix at a steady rate to the edges that call themselves sound.

    As the platform's balancer would.
    """

    def __init__(
        self, clock, edges: list[str], mix: list[dict], host: str, rate: float, seed: int = 1
    ):
        self.clock, self.edges, self.mix, self.host, self.rate = clock, edges, mix, host, rate
        self.chance = random.Random(seed)
        self.tally = Tally()
        self.sound: list[str] = []
        self.down: dict[str, int] = {}
        self.pool = Pool(2000)
        self.clients: dict[str, list] = {}
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

    def _look(self, edge):
        while True:
            reply = ask(edge, "GET", "/.wp/health", seconds=1)
            sound = reply is not None and reply[0] == 200
            if sound and edge not in self.sound:
                self.sound = [*self.sound, edge]
            elif not sound:
                self.sound = [other for other in self.sound if other != edge]
            gevent.sleep(0.25)

    def _drive(self):
        due = self.clock.now()
        while self.running:
            due += int(self.chance.expovariate(self.rate) * 1e6)
            wait = due - self.clock.now()
            if wait > 0:
                gevent.sleep(wait / 1e6)
            self.pool.spawn(self._call, self.chance.choices(self.mix, self.weights)[0])

    def _call(self, kind):
        """The edge is chosen when the call leaves.

        One that waited for its turn must not go by what was sound when it was due.
        """
        if not self.sound:
            return
        edge = self.chance.choice(self.sound)
        self.counter += 1
        identity = f"w{self.counter}"
        item = min(int(self.chance.paretovariate(1.1)), kind["items"])
        path = f"{kind['path']}/{item}"
        headers = {"Host": self.host}
        user = f"user-{self.chance.randrange(500)}" if kind.get("personal") else ""
        if user:
            headers["Authorization"] = user
        body = json.dumps({"id": identity}) if kind["method"] == "POST" else ""
        began = self.clock.now()
        reply = self._send(edge, kind["method"], path, headers, body)
        self.tally.latencies.append((began, self.clock.now() - began))
        self.tally.per_edge.setdefault(edge, Counter())[began // 1_000_000] += 1
        self._judge(kind, edge, path, user, identity, began, reply)

    def _judge(self, kind, edge, path, user, identity, began, reply):
        tally, write = self.tally, kind["method"] == "POST"
        if isinstance(reply, str):
            tally.outcomes["connection"] += 1
            tally.dropped.append((began, edge, reply))
            if write:
                tally.unknown.add(identity)
            return
        code, headers, text = reply
        tally.outcomes[code] += 1
        if code == 200:
            try:
                echo = json.loads(text.partition(b"\n")[0])
            except ValueError:
                echo = {}
            right = (
                echo.get("path") == path
                and echo.get("user") == user
                and echo.get("service") == kind["service"]
                and echo.get("wrote") == (identity if write else None)
            )
            if not right:
                tally.wrong.append((began, edge, path, text[:120].decode(errors="replace")))
            if write:
                tally.done.add(identity)
            elif not user:
                tally.versions.append(
                    (began, echo.get("version"), path, headers.get("wp-cache"), edge)
                )
            return
        reason = text[:100].decode(errors="replace")
        tally.refusals.append((began, code, reason))
        if write:
            (tally.not_run if headers.get("wp-outcome") == "not-run" else tally.unknown).add(
                identity
            )
        if "retry-after" not in headers and "wp-cache" not in headers and code >= 500:
            tally.wrong.append((began, edge, path, f"{code} without Retry-After: {reason}"))

    def _send(self, edge, method, path, headers, body):
        idle_clients = self.clients.setdefault(edge, [])
        client = (
            idle_clients.pop()
            if idle_clients
            else HTTPClient(
                *split_address(edge), connection_timeout=1, network_timeout=10, concurrency=1
            )
        )
        try:
            answer = client.request(method, path, body=body.encode(), headers=headers)
            text = answer.read()
            result = (
                answer.status_code,
                {name.lower(): value for name, value in answer.headers},
                bytes(text),
            )
            idle_clients.append(client)
            return result
        except Exception as problem:  # refused, reset, short: the caller sees a dropped request
            client.close()
            return f"{type(problem).__name__}: {problem}"


def ask(address: str, method: str, path: str, value=None, headers=None, seconds: float = 6):
    """One call: (code, headers, value), or None when nobody answered."""
    client = HTTPClient(
        *split_address(address), connection_timeout=min(1, seconds), network_timeout=seconds
    )
    try:
        body = (
            b""
            if value is None
            else value
            if isinstance(value, bytes)
            else json.dumps(value).encode()
        )
        answer = client.request(
            method, path, body=body, headers={"Content-Type": "application/json", **(headers or {})}
        )
        text = answer.read()
        return (
            answer.status_code,
            {name.lower(): value for name, value in answer.headers},
            json.loads(text) if text else None,
        )
    except Exception:
        return None
    finally:
        client.close()
