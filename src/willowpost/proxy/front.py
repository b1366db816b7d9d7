"""The WSGI side: reads a request, has a plan made and carried out, and answers."""
import json
import re
from itertools import chain

from willowpost.proxy.cache.storing import seconds_of
from willowpost.proxy.way.carrier import Carrier
from willowpost.proxy.way.planner import RequestPlanner
from willowpost.proxy.way.request import Request, ShedPlan, WritePlan
from willowpost.proxy.way.tries import Shed
from willowpost.shell.web import BodyTooLarge, CountingHandler, read_body, status_line

HOST = re.compile(r"[A-Za-z0-9.-]{1,253}(:\d{1,5})?")
SOUNDNESS = "/.wp/soundness"
STATS = "/.wp/stats"


class ProxyHandler(CountingHandler):
    """Invariant: a request framed in two ways is malformed, whatever it says."""

    framedTwice = False

    def MessageClass(self, *args):
        message = super().MessageClass(*args)
        lengths = set(message.get_all("content-length") or ())
        self.framedTwice = len(lengths) + bool(message.get("transfer-encoding")) > 1
        return message

    def read_request(self, raw_requestline):
        good = super().read_request(raw_requestline)
        return None if self.framedTwice else good

    def handle_error(self, kind, problem, trace):
        """An answer that turned out not to be whole is cut off; what its reader knows is that it is short."""
        self.close_connection = True
        self.server.application.broke(problem)
        if not self.headers_sent:
            super().handle_error(kind, problem, trace)

    def get_environ(self):
        environ = super().get_environ()
        environ["wp.target"] = self.path
        return environ


class Front:
    def __init__(self, board, clock, planner: RequestPlanner, carrier: Carrier, stats, logs):
        self.board, self.clock, self.planner, self.carrier = board, clock, planner, carrier
        self.stats, self.logs = stats, logs
        self.underway = 0

    def broke(self, problem) -> None:
        self.stats["cut"] += 1
        self.logs.say("front", "answer cut off", level="warning", problem=repr(problem))

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path in (SOUNDNESS, STATS):
            return self._own(path, start_response)
        write = environ["REQUEST_METHOD"] not in ("GET", "HEAD")
        try:
            request = self._request(environ)
            if request is None:
                raise Shed(400, "malformed request", 0)
            self.stats["requests"] += 1
            plan = self.planner.plan(request)
            body = b""
            if not isinstance(plan, ShedPlan):
                body = read_body(environ, plan.way.bodyMost if isinstance(plan, WritePlan) else 64 * 1024)
            if isinstance(plan, WritePlan):
                plan = self._again(request, plan)
            outcome = self.carrier.carry(request, plan, body)
            return self._answer(request, outcome, start_response)
        except BodyTooLarge:
            return self._shed(start_response, Shed(413, "body over the limit", 0), write)
        except (EOFError, ValueError, OSError):
            return self._shed(start_response, Shed(400, "malformed request", 0), write)
        except Shed as shed:
            return self._shed(start_response, shed, write)
        except Exception as problem:
            self.logs.say("front", "request broke down", level="error", problem=repr(problem))
            return self._shed(start_response, Shed(500, "broke down", 1, "unknown"), write)

    def _again(self, request, plan):
        """The body took its time: plan anew on what is in force now."""
        return self.planner.plan(request) if self.board.picture.slot != plan.slot else plan

    def _request(self, environ):
        host = environ.get("HTTP_HOST", "")
        target = environ.get("wp.target", "")
        if target.startswith("http://"):
            target = "/" + target[7:].partition("/")[2]
        if not HOST.fullmatch(host) or not target.startswith("/") or target.startswith("//") or any(ord(letter) <= 32 or ord(letter) >= 127 for letter in target):
            return None
        headers = {name[5:].replace("_", "-").lower(): value for name, value in environ.items() if name.startswith("HTTP_")}
        if "CONTENT_TYPE" in environ and environ["CONTENT_TYPE"]:
            headers["content-type"] = environ["CONTENT_TYPE"]
        hop = self.board.card.role == "shield" and "wp-hop" in headers
        return Request(environ["REQUEST_METHOD"], host.partition(":")[0].lower(), target.partition("#")[0], headers, hop,
                       hop and "wp-extra" in headers)

    def _answer(self, request, outcome, start_response):
        answer = outcome.answer
        if answer.rest is not None:
            answer.rest = self._begun(answer.rest)
        match = request.headers.get("if-none-match")
        etag = answer.header("etag")
        status, body = answer.status, answer.body
        if match and etag and status == 200 and request.safe and answer.rest is None \
                and (match.strip() == "*" or etag.removeprefix("W/") in [held.strip().removeprefix("W/") for held in match.split(",")]):
            status, body = 304, b""
        headers = [(name, value) for name, value in answer.headers if name not in ("content-length", "age")]
        if outcome.age is not None:
            headers.append(("age", seconds_of(outcome.age)))
        if request.hop:
            headers.append(("wp-slot", str(outcome.slot)))
        headers.append(("wp-cache", outcome.source))
        length = answer.header("content-length")
        if status not in (204, 304):
            if answer.rest is None and request.method != "HEAD":
                headers.append(("content-length", str(len(body))))
            elif length is not None:
                headers.append(("content-length", length))
        if self.board.draining:
            headers.append(("connection", "close"))
        self.stats[f"status.{status}"] += 1
        start_response(status_line(status), [(name.title(), value) for name, value in headers])
        return self._stream(body, answer.rest) if answer.rest is not None else [] if request.method == "HEAD" else [body]

    def _begun(self, rest):
        """The first piece is fetched before the head leaves: what breaks down by then still gets an honest status."""
        try:
            first = next(rest, b"")
        except Exception as problem:
            raise Shed(502, f"no whole answer: {problem}", 1, "unknown")
        return chain((first,), rest)

    def _stream(self, first, rest):
        if first:
            yield first
        yield from rest

    def _shed(self, start_response, shed, write):
        body = json.dumps({"shed": shed.reason, "retryAfter": shed.after} if shed.after else {"shed": shed.reason}).encode() + b"\n"
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), ("Cache-Control", "no-store")]
        if shed.after:
            headers.append(("Retry-After", str(shed.after)))
        if write:
            headers.append(("Wp-Outcome", shed.outcome))
        if shed.code == 400 or self.board.draining:
            headers.append(("Connection", "close"))
        self.stats[f"shed.{shed.code}"] += 1
        self.stats[f"why.{shed.reason[:40]}"] += 1
        start_response(status_line(shed.code), headers)
        return [body]

    def _own(self, path, start_response):
        now = self.clock.now()
        sound = self.board.leased(now) and not self.board.draining and self.board.emptiedAt is None and self.board.ripe(now)
        age = self.board.age(now)
        value = {"sound": sound, "draining": self.board.draining, "emptied": self.board.emptiedAt is not None,
                 "slot": self.board.tables.slot, "generation": self.board.picture.generation,
                 "ageMs": None if age is None else age // 1000}
        if path == STATS:
            value = {**value, "stats": dict(self.stats), "underway": self.underway - 1,
                     "shares": {name: round(grant.rate, 3) for name, grant in self.board.grants.items()}}
        body = json.dumps(value).encode() + b"\n"
        code = 200 if sound or path == STATS else 503
        start_response(status_line(code), [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
                       + ([] if code == 200 else [("Retry-After", "2")]))
        return [body]
