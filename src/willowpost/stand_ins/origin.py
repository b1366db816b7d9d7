"""Stand-ins for the origins: content stores and applications that can break down on demand."""

import json
import secrets
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from willowpost.common.clock import SECOND, Clock
from willowpost.shell.addresses import split_address
from willowpost.shell.web import Environ, status_line
from willowpost.shell.web_server import QuietHandler
from willowpost.stand_ins.content import Content
from willowpost.stand_ins.http_call import ask
from willowpost.stand_ins.ledger import Ledger

WARM_UP_SECONDS = 8
COLD_SHARE = 0.25  # of its rate, that an origin takes at its start
MAX_OVERRUN = 2  # times its rate
SLOW_SECONDS = 4
HEALTH = "/health"
WORK_PARAMETER = "work_ms"  # of a request's query: how long an origin works on it
MAX_CONNECTIONS = 2000
REGISTRY_SECONDS = 6.0
MS_PER_SECOND = 1000
ACKNOWLEDGED = (200, 201)


class StandInOrigin:
    """One origin.

    Args:
        ledger: of all origins in this process.
        clock: the machine's clock.
        address: where it listens.
        service: that it belongs to.
        zone: where it is.
        rate: requests a second that it can take.
        keep: seconds that its content may be kept.
        registries: whom it sends heartbeats, the preferred one first.
        beat_seconds: between two heartbeats.

    Attributes:
        mode: how it breaks down: "slow", "short" (truncated), "lying" (wrong bytes) or "lost" (it
            runs, no answer); "sound" otherwise.
        answering: sockets of the requests that it works on.
        load: how many these are.
        token: names its incarnation.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        address: str,
        service: str,
        zone: str,
        rate: float,
        keep: int,
        registries: list[str],
        beat_seconds: float = 1.0,
    ) -> None:
        self.ledger, self.clock = ledger, clock
        self.address, self.service, self.zone = address, service, zone
        self.rate, self.keep = rate, keep
        self.registries, self.beat_seconds = registries, beat_seconds
        self.mode = "sound"
        self.answering: set[socket.socket] = set()
        self.load = 0
        self.started_at = 0
        self.token = self.former_token = ""
        self._server: WSGIServer | None = None
        self._heartbeats: gevent.Greenlet | None = None

    def start(self, quiet: float = 0.0) -> None:
        """Start a new incarnation; it serves for `quiet` seconds before its first heartbeat."""
        self.former_token = self.token
        self.started_at, self.token = self.clock.now(), secrets.token_hex(8)
        self._server = WSGIServer(
            split_address(self.address),
            self._serve,
            handler_class=QuietHandler,
            log=None,
            error_log=None,
            spawn=Pool(MAX_CONNECTIONS),
        )
        self._server.start()
        self._heartbeats = gevent.spawn_later(quiet, self._send_heartbeats)

    def crash(self) -> None:
        """End without a word: the socket and every connection close, the heartbeats end."""
        if self._heartbeats is not None:
            self._heartbeats.kill()
        for connection in list(self.answering):  # gevent would answer with 500
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if self._server is not None:
            self._server.stop(timeout=0)
        self._server = None

    def say(self, call: str, **more: object) -> Any:
        """Call one registry after the other until one takes it; its answer, or None."""
        value = {"service": self.service, "address": self.address, **more}
        for registry in self.registries:
            reply = ask(registry, "POST", f"/v1/origins{call}", value, seconds=REGISTRY_SECONDS)
            if reply is not None and reply[0] in ACKNOWLEDGED:
                return reply[2]
        return None

    def say_late(self) -> Any:
        """Deliver a heartbeat of the incarnation before this one, as if it came late."""
        if not self.former_token:
            return None
        return self.say("/beat", load=0, **{**self._description(), "token": self.former_token})

    def _description(self) -> dict[str, object]:
        return {
            "zone": self.zone,
            "rate": self.rate,
            "cold_rate": max(1.0, self.rate * COLD_SHARE),
            "token": self.token,
        }

    def _send_heartbeats(self) -> None:
        self.say("", **self._description())
        while True:
            gevent.sleep(self.beat_seconds)
            self.say("/beat", load=self.load, **self._description())

    def _current_rate(self) -> float:
        """Return the requests a second that it can take now: fewer while it warms up."""
        warmed = min(1.0, (self.clock.now() - self.started_at) / (WARM_UP_SECONDS * SECOND))
        return self.rate * (COLD_SHARE + (1 - COLD_SHARE) * warmed)

    def _serve(self, environ: Environ, start_response: Any) -> list[bytes]:
        self.load += 1
        self.answering.add(environ["wp.socket"])
        try:
            return self._answer(environ, start_response)
        finally:
            self.answering.discard(environ["wp.socket"])
            self.load -= 1

    def _answer(self, environ: Environ, start_response: Any) -> list[bytes]:
        empty = ("Content-Length", "0")
        if environ["PATH_INFO"] == HEALTH:
            start_response(status_line(200), [empty, ("Wp-Token", self.token)])
            return [b""]
        if environ.get("HTTP_WP_INCARNATION", self.token) != self.token:
            start_response("421 Misdirected Request", [empty])
            return [b""]
        now = self.clock.now()
        self.ledger.record_arrival(self.address, environ.get("HTTP_WP_REQUEST"), now)
        requests = self.ledger.requests_in_second(self.address, now)
        if requests > MAX_OVERRUN * self._current_rate():
            self.ledger.overrun[self.address] += 1
            start_response(status_line(503), [empty, ("Retry-After", "1")])
            return [b""]
        self.ledger.record_run(self.address, environ["PATH_INFO"], now)
        return self._run(environ, start_response)

    def _run(self, environ: Environ, start_response: Any) -> list[bytes]:
        write = None
        if environ["REQUEST_METHOD"] == "POST":
            write = json.loads(environ["wsgi.input"].read())["id"]
            self.ledger.writes[write] += 1
        gevent.sleep(SLOW_SECONDS if self.mode == "slow" else _work_seconds(environ))
        self.ledger.record_done(environ.get("HTTP_WP_REQUEST"), self.clock.now())
        if self.mode == "lost":
            start_response(status_line(200), [("Connection", "close")])
            environ["wp.socket"].shutdown(socket.SHUT_RDWR)
            return []
        content = self._content(environ, write)
        body = content.body()
        headers = content.headers(body)
        if self.mode == "lying":
            body = b"x" + body[1:]
        if self.mode == "short":
            length = ("Content-Length", str(len(body) + 1))
            start_response(status_line(200), [*headers, length, ("Connection", "close")])
            return [body]
        start_response(status_line(200), [*headers, ("Content-Length", str(len(body)))])
        return [body]

    def _content(self, environ: Environ, write: str | None) -> Content:
        user = environ.get("HTTP_AUTHORIZATION", "")
        may_be_shared = environ["REQUEST_METHOD"] == "GET" and not user
        return Content(
            environ["PATH_INFO"],
            environ.get("QUERY_STRING", ""),
            user,
            self.service,
            self.ledger.version,
            write,
            self.keep if may_be_shared else 0,
            environ.get("HTTP_WP_REQUEST"),
        )


def _work_seconds(environ: Environ) -> float:
    """Return how long a request asks its origin to work on it."""
    values = parse_qs(environ.get("QUERY_STRING", "")).get(WORK_PARAMETER, ["0"])
    return int(values[0]) / MS_PER_SECOND
