"""The callers' side of a proxy: plans a request, carries out the plan and builds the reply."""

import json
import re

from willowpost.proxy.caller.lifetime import UNWATCHED, RequestLifetime
from willowpost.proxy.caller.pacing import LinkPacer
from willowpost.proxy.caller.reply import Reply
from willowpost.proxy.caller.reply_maker import ReplyMaker
from willowpost.proxy.caller.request import CallerRequest
from willowpost.proxy.caller.standstill import StandstillWatch
from willowpost.proxy.routing.attempt import Rejected
from willowpost.proxy.routing.carrier import Carrier
from willowpost.proxy.routing.planner import DENIED_AGAIN_AFTER, RequestPlanner
from willowpost.proxy.routing.request import ONCE, RejectPlan, Request, kind_of
from willowpost.proxy.routing.words import Words

HOST = re.compile(r"[A-Za-z0-9._-]{1,253}(:\d{1,5})?")
BAD = re.compile(r"[^\x21-\x7e]")
HEALTH = "/.wp/health"
STATS = "/.wp/stats"
READ_BODY_MOST = 64 * 1024
MILLI = 1000
LIMIT_CODES = (413, 431)


class Front:
    """Answers callers' requests.

    Args:
        node_state: The proxy's shared state.
        clock: This process's clock.
        planner: Chooses what to do with a request.
        carrier: Carries out the plan.
        stats: Counters by name.
        logs: Where log lines go.
        words: Names of the headers shared with callers and origins.
        reserved: Whether the health and statistics paths are served on the callers' port.
        pacer: Paces large answers by the machine's link; None: they are not paced.
    """

    def __init__(
        self,
        node_state,
        clock,
        planner: RequestPlanner,
        carrier: Carrier,
        stats,
        logger,
        words: Words = Words(),
        reserved: bool = True,
        pacer: LinkPacer | None = None,
    ):
        self.node_state, self.clock, self.planner, self.carrier = (
            node_state,
            clock,
            planner,
            carrier,
        )
        self.stats, self.logger, self.words, self.reserved = stats, logger, words, reserved
        self.replies = ReplyMaker(words, stats)
        self.now = clock.now
        self.in_flight = 0
        self.standstill = StandstillWatch()
        self.pacer = pacer or LinkPacer()
        self.finishing = False
        self.connections: set = set()

    def opened(self, handler) -> None:
        """Registers a caller's connection."""
        self.connections.add(handler)

    def closed(self, handler) -> None:
        """Forgets a caller's connection."""
        self.connections.discard(handler)

    def finish(self) -> None:
        """Stops taking new requests on all connections."""
        self.finishing = True
        for handler in tuple(self.connections):
            handler.end()

    def leaving(self) -> bool:
        """Whether this proxy is draining."""
        return self.node_state.is_draining

    def limits(self) -> dict:
        """The limits of the configuration in force, by name."""
        return self.node_state.snapshot.limits

    def broke(self, problem) -> None:
        """Counts and logs a reply that was cut off after its head had been sent."""
        self.stats["cut"] += 1
        self.logger.log("front", "answer cut off", level="warning", problem=repr(problem))

    def left(self, waiting: int) -> None:
        """Counts requests whose caller has left before they were answered."""
        self.stats["caller_left"] += waiting

    def repeatable(self, asked: CallerRequest) -> bool:
        """Whether the request may be sent to an origin more than once."""
        route = self._route(asked)
        return route is None or kind_of(route, asked_as(asked)) != ONCE

    def body_most(self, asked: CallerRequest) -> int:
        """The largest body accepted with this request, in bytes."""
        route = self._route(asked)
        most = self.limits().get("body_bytes")
        return (
            most
            if most is not None
            else READ_BODY_MOST
            if route is None or asked.method in ("GET", "HEAD")
            else route.body_max
        )

    def _route(self, asked):
        return self.node_state.snapshot.routes.find(host_of(asked), asked.target.partition("?")[0])

    def malformed(self, code: int, reason: str) -> Reply:
        """The reply to a request that cannot be parsed or is over a limit."""
        return self.replies.rejected(self._over_limit(code, reason), False)

    def _over_limit(self, code, reason):
        """The refusal; a limit of the configuration refuses only if it is known to be current."""
        if code in LIMIT_CODES and not self.node_state.denies(self.clock.now()):
            return Rejected(503, "the limits known here may be old", DENIED_AGAIN_AFTER)
        return Rejected(code, reason, 0)

    def respond(
        self,
        asked: CallerRequest,
        body: bytes,
        received: int,
        lifetime: RequestLifetime = UNWATCHED,
    ) -> Reply:
        """The reply to a request; failures become error replies and are not raised.

        Args:
            asked: The request's head.
            body: Its whole body.
            received: When its head was complete, by this process's clock, in µs.
            lifetime: Whether the caller still waits.

        Raises:
            CallerGone: Nobody waits for the reply any more.
        """
        if self.reserved and asked.target.partition("?")[0] in (HEALTH, STATS):
            return self.own(asked.target.partition("?")[0])
        write = asked.method not in ("GET", "HEAD")
        request = None
        try:
            request = self._request(asked, received, lifetime)
            if request is None:
                raise Rejected(400, "malformed request", 0)
            self.stats["requests"] += 1
            plan = self.planner.plan(request)
            if not isinstance(plan, RejectPlan) and len(body) > self.body_most(asked):
                raise self._over_limit(413, "body over the limit")
            return self.replies.answered(request, self.carrier.carry(request, plan, body))
        except Rejected as reject:
            return self.replies.rejected(reject, write, request)
        except Exception as problem:
            self.logger.log("front", "request broke down", level="error", problem=repr(problem))
            return self.replies.rejected(Rejected(500, "broke down", 1, "unknown"), write, request)

    def _request(self, asked, received, lifetime):
        host, target = asked.headers.get("host", ""), asked.target
        if target.startswith("http://"):
            target = "/" + target[7:].partition("/")[2]
        if (
            not HOST.fullmatch(host)
            or not target.startswith("/")
            or target.startswith("//")
            or BAD.search(target)
        ):
            return None
        headers = asked.headers
        hop = self.node_state.descriptor.role == "shield" and "wp-hop" in headers
        left = headers.get(self.words.left, "")
        return Request(
            asked.method,
            host.partition(":")[0].lower(),
            target.partition("#")[0],
            headers,
            hop,
            hop and "wp-extra" in headers,
            headers.get(self.words.request),
            int(left) * MILLI if left.isascii() and left.isdigit() else None,
            received,
            lifetime,
        )

    def own(self, path: str) -> Reply:
        """The reply to the health or the statistics path.

        The health path gives 503 unless the proxy holds a lease, is warmed up, is not draining and
        its zone is not evacuated.
        """
        now = self.clock.now()
        sound = (
            self.node_state.may_serve(now)
            and not self.node_state.is_draining
            and self.node_state.emptied_at is None
            and self.node_state.warmed_up(now)
        )
        age = self.node_state.age(now)
        value = {
            "sound": sound,
            "draining": self.node_state.is_draining,
            "emptied": self.node_state.emptied_at is not None,
            "slot": self.node_state.tables.slot,
            "version": self.node_state.snapshot.version,
            "age_ms": None if age is None else age // 1000,
        }
        if path == STATS:
            value = {
                **value,
                "stats": dict(self.stats),
                "in_flight": self.in_flight,
                "without_caller": self.carrier.tries.outgoing.without_caller(),
                "shares": {
                    name: round(grant.rate, 3) for name, grant in self.node_state.grants.items()
                },
            }
        code = 200 if sound or path == STATS else 503
        return Reply(
            code,
            [("content-type", "application/json")]
            + ([] if code == 200 else [("retry-after", "2")]),
            json.dumps(value).encode() + b"\n",
        )


def host_of(asked: CallerRequest) -> str:
    """The request's host in lower case, without the port."""
    return asked.headers.get("host", "").partition(":")[0].lower()


def asked_as(asked: CallerRequest) -> Request:
    """The request with its method and headers only, to find out its kind."""
    return Request(asked.method, "", "", asked.headers)
