"""Stand-ins for the origins: content stores and applications that can break down on demand."""

import base64
import hashlib
import json
import secrets
import zlib
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from willowpost.shell.addresses import split_address
from willowpost.shell.web import status_line
from willowpost.shell.web_server import QuietHandler

WARM_SECONDS = 8
SLOW_SECONDS = 4
HEALTH = "/health"
CONNECTIONS_MOST = 2000


@dataclass(slots=True)
class Ledger:
    """What every origin of one stand-in process saw.

    Invariant: `writes` counts each write's runs by its id.
    """

    writes: Counter = field(default_factory=Counter)
    seen: dict = field(default_factory=dict)  # address -> Counter of whole seconds
    services: dict = field(default_factory=dict)  # address -> Counter of paths' first parts
    version: int = 1
    # request's id -> (address, when in µs) of each arrival; only of requests that have one
    arrivals: dict = field(default_factory=dict)
    # requests that came to an origin at over twice what it bears
    overrun: Counter = field(default_factory=Counter)


class StandInsOrigin:
    """One origin.

    `mode` makes it break down: slow, short (truncated), lying (wrong bytes), lost (runs, no
    answer), down.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock,
        address: str,
        service: str,
        zone: str,
        rate: float,
        keep: int,
        registries: list[str],
        beat_seconds: float = 1.0,
    ):
        self.ledger, self.clock = ledger, clock
        self.address, self.service, self.zone, self.rate, self.keep = (
            address,
            service,
            zone,
            rate,
            keep,
        )
        self.registries, self.beat_seconds = registries, beat_seconds
        self.mode = "sound"
        self.server = None
        self.answering = set()  # sockets of the requests that it works on
        self.load = 0
        self.beating = None
        self.started_at = 0
        self.token = self.former_token = ""

    def _bears(self) -> float:
        """A cold origin bears a quarter at first, and all after eight seconds."""
        part = min(1.0, (self.clock.now() - self.started_at) / (WARM_SECONDS * 1_000_000))
        return self.rate / 4 + self.rate * 0.75 * part

    def start(self, quiet: float = 0.0) -> None:
        """A new life, with a token of its own.

        One that is rude serves for a while before it says a word.
        """
        self.former_token = self.token
        self.started_at, self.token = self.clock.now(), secrets.token_hex(8)
        self.server = WSGIServer(
            split_address(self.address),
            self._serve,
            handler_class=QuietHandler,
            log=None,
            error_log=None,
            spawn=Pool(CONNECTIONS_MOST),
        )
        self.server.start()
        self.beating = gevent.spawn_later(quiet, self._beat)

    def crash(self) -> None:
        """No word to anybody: the socket and every connection close, the beats end."""
        self.beating.kill()
        for connection in list(self.answering):  # gevent would answer with 500
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.server.stop(timeout=0)
        self.server = None

    def say(self, call: str, **more) -> dict | None:
        """Tell one registry after the other until one takes it; its answer, or None."""
        value = {"service": self.service, "address": self.address, **more}
        for number in range(len(self.registries)):
            host, port = split_address(self.registries[number])
            client = HTTPClient(host, port, connection_timeout=1, network_timeout=6)
            try:
                answer = client.post(
                    f"/v1/origins{call}",
                    json.dumps(value),
                    headers={"Content-Type": "application/json"},
                )
                reply = json.loads(answer.read())
                if answer.status_code in (200, 201):
                    return reply
            except Exception:  # that registry is not there: say it to the next
                continue
            finally:
                client.close()
        return None

    def say_late(self) -> dict | None:
        """Deliver a heartbeat of the incarnation before this one, as if it came late."""
        card = {**self._card(), "token": self.former_token}
        return self.say("/beat", load=0, **card) if self.former_token else None

    def _card(self):
        return {
            "zone": self.zone,
            "rate": self.rate,
            "cold_rate": max(1.0, self.rate / 4),
            "token": self.token,
        }

    def _beat(self):
        self.say("", **self._card())
        while True:
            gevent.sleep(self.beat_seconds)
            self.say("/beat", load=self.load, **self._card())

    def _serve(self, environ, start_response):
        self.load += 1
        self.answering.add(environ["wp.socket"])
        try:
            return self._answer(environ, start_response)
        finally:
            self.answering.discard(environ["wp.socket"])
            self.load -= 1

    def _answer(self, environ, start_response):
        if environ["PATH_INFO"] == HEALTH:
            start_response(status_line(200), [("Content-Length", "0"), ("Wp-Token", self.token)])
            return [b""]
        meant = environ.get("HTTP_WP_INCARNATION")
        if meant is not None and meant != self.token:
            start_response("421 Misdirected Request", [("Content-Length", "0")])
            return [b""]
        now = self.clock.now()
        second, name = now // 1_000_000, environ.get("HTTP_WP_REQUEST")
        if name:
            self.ledger.arrivals.setdefault(name, []).append((self.address, now))
        if self.ledger.seen.get(self.address, {}).get(second, 0) > 2 * self._bears():
            self.ledger.overrun[self.address] += 1
            start_response(status_line(503), [("Content-Length", "0"), ("Retry-After", "1")])
            return [b""]
        self.ledger.seen.setdefault(self.address, Counter())[second] += 1
        path = environ["PATH_INFO"]
        self.ledger.services.setdefault(self.address, Counter())[path.split("/")[1]] += 1
        body = environ["wsgi.input"].read() if environ["REQUEST_METHOD"] == "POST" else b""
        if environ["REQUEST_METHOD"] == "POST":
            self.ledger.writes[json.loads(body)["id"]] += 1
        if self.mode == "slow":
            gevent.sleep(SLOW_SECONDS)
        if self.mode == "lost":
            start_response("200 OK", [("Connection", "close")])
            environ["wp.socket"].shutdown(socket.SHUT_RDWR)
            return []
        user = environ.get("HTTP_AUTHORIZATION", "")
        answer = {
            "path": path,
            "query": environ.get("QUERY_STRING", ""),
            "user": user,
            "service": self.service,
            "version": self.ledger.version,
            "wrote": json.loads(body)["id"] if body else None,
        }
        shared = environ["REQUEST_METHOD"] == "GET" and not user and self.keep
        text = (
            json.dumps(answer).encode()
            + b"\n"
            + (b"." * (200 + zlib.crc32(path.encode()) % 20_000) if shared else b"")
        )
        digest = base64.b64encode(hashlib.sha256(text).digest()).decode()
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Digest", f"sha-256=:{digest}:"),
            *([("Wp-Request", name)] if name else []),
            ("ETag", f'"{self.ledger.version}-{len(text)}"'),
            ("Cache-Control", f"max-age={self.keep}" if shared else "private, no-store"),
        ]
        if self.mode == "lying":
            text = b"x" + text[1:]
        if self.mode == "short":
            start_response(
                "200 OK",
                [*headers, ("Content-Length", str(len(text) + 1)), ("Connection", "close")],
            )
            return [text]
        start_response(status_line(200), [*headers, ("Content-Length", str(len(text)))])
        return [text]
