"""One try of a request: toward a shield, or toward an origin that is drawn, let in and charged for."""
from dataclasses import dataclass, field

from willowpost.common.clock import SECOND
from willowpost.proxy.admission.verdict import Let
from willowpost.proxy.origin import knock as knocking
from willowpost.proxy.origin.breakdown import Breakdown
from willowpost.proxy.origin.exchange import WholeAnswer
from willowpost.proxy.way.headers import toward
from willowpost.proxy.way.request import Request


class Shed(Exception):
    """Given up: the caller gets its final answer at once."""

    def __init__(self, code: int, reason: str, after: int = 1, outcome: str = "not-run"):
        super().__init__(reason)
        self.code, self.reason, self.after, self.outcome = code, reason, after, outcome


@dataclass(slots=True)
class Trace:
    """What became of one request so far. Invariant: `pressed` is False only if no byte of it can have reached an
    origin, here or by way of a hop before or behind us; from then on each try is an extra one."""

    pressed: bool = False
    tried: set = field(default_factory=set)


class Tries:
    """Invariants: an answer comes from an origin of the picture in force when the request left;
    every extra try is charged once, by the proxy that sends it to an origin."""

    def __init__(self, board, clock, allowance, ramp, budget, draw, io, stats):
        self.board, self.clock = board, clock
        self.allowance, self.ramp, self.budget = allowance, ramp, budget
        self.origins, self.io, self.stats = draw, io, stats

    def shield(self, request: Request, plan, name: str, address: str, deadline: int, trace: Trace) -> WholeAnswer:
        headers = toward(request, address, self.board.card.id, plan.slot, plan.entry, trace.pressed)
        try:
            answer = self._exchange(f"shield {name} {address}", address, None, request, headers, b"", plan.way, deadline,
                                    lambda: name in self.board.picture.shields)
            trace.pressed = True
            return answer
        except Breakdown as breakdown:
            self.origins.eject(name, self.clock.now())
            trace.pressed |= breakdown.sent
            raise

    def origin(self, request: Request, plan, body: bytes, deadline: int, trace: Trace) -> WholeAnswer:
        chosenOrigin = self._draw(plan.way, trace)
        trace.tried.add(chosenOrigin.name)
        self.origins.began(chosenOrigin.name)
        headers = toward(request, chosenOrigin.address, None, 0, plan.entry)
        try:
            return self._exchange(chosenOrigin.name, chosenOrigin.address, chosenOrigin.knock, request, headers, body, plan.way, deadline,
                                  lambda: chosenOrigin.name in self.board.picture.origins, lambda: self._press(trace))
        except Breakdown as breakdown:
            self.origins.eject(chosenOrigin.name, self.clock.now())
            if breakdown.died:
                # what stands there next is cold, and we may know it before the log does
                self.ramp.suspect(chosenOrigin.name, self.clock.now())
            raise
        finally:
            self.origins.ended(chosenOrigin.name)

    def _draw(self, way, trace):
        now = self.clock.now()
        group = self.board.picture.groups.get(way.group)
        candidates = self.origins.draw(group.origins, way.zones, trace.tried, now) if group else []
        if not candidates:
            raise Shed(503, "no origin in force" if not trace.tried else "no further origin in force", 2)
        if trace.pressed and not self.budget.left(now):
            raise Shed(503, "no extra try left", 1)
        chosenOrigin = next((origin for origin in candidates if self._granted(self.ramp.let_in(origin, group, now), way.group, origin.name)), None)
        if chosenOrigin is None:
            raise Shed(503, "the origins are still cold", 1)
        if not self._granted(self.allowance.let_in(way.group, now), way.group):
            raise Shed(503, "no share of the allowance left", 1)
        return chosenOrigin

    def _granted(self, verdict: Let, group: str, origin: str = "") -> bool:
        return self.io.token(group, origin) if verdict is Let.ASK else verdict is Let.IN

    def _press(self, trace):
        """Charged as late as can be: what does not leave costs nothing."""
        if trace.pressed and not self.budget.let_in(self.clock.now()):
            raise Shed(503, "no extra try left", 1)
        self.stats["tries"] += 1
        self.stats["extras"] += trace.pressed
        if not trace.pressed:
            self.budget.first(self.clock.now())
        trace.pressed = True

    def _exchange(self, owner, address, knock, request, headers, body, way, deadline, inForce, press=lambda: None) -> WholeAnswer:
        exchange = self.io.open(owner, address, request.safe)
        answer = None
        try:
            if knock is not None and not exchange.reused:
                exchange.knock(knock, min(knocking.SECONDS, self._left(deadline)))
            # last look before a byte leaves: the lease by a clock that counts freezes, and that it is still in force
            if not self.board.leased(self.clock.now()):
                raise Shed(503, "no fresh news from the core", 2)
            if not inForce():
                raise Breakdown("went out of force", sent=False)
            press()
            connectionHeader = [] if request.safe else [("connection", "close")]
            answer = exchange.run(request.method, request.target, headers + connectionHeader, body, self._left(deadline), way.wholeMost)
            return answer
        finally:
            self.io.finish(owner, exchange, request.safe, answer)

    def _left(self, deadline):
        return max(0.05, (deadline - self.clock.now()) / SECOND)
