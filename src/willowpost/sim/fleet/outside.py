"""What surrounds a simulated fleet: origins and callers."""

import json

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.shell.health_check import TOKEN_HEADER
from willowpost.sim.fleet.messages import HEALTH, SimAnswer, SimBeat, SimRequest

REJECTED = 500  # statuses from here on say that the request was not served
LATE = {"slow": 4 * SECOND, "tired": 400 * MILLISECOND, "brisk": 20 * MILLISECOND}


class SimOrigin:
    """An origin that sends heartbeats and answers requests by its `mode`.

    Modes: sound; lost (runs the request, the response is lost); short (the response ends short);
    slow (later than any deadline); tired (late, but whole); brisk (takes 20 ms); twice (sends each
    response again).
    """

    def __init__(self, world, seat, service, zone, rate, registries):
        self.world, self.seat = world, seat
        self.service, self.zone, self.rate, self.registries = service, zone, rate, registries
        self.mode = "sound"
        self.beat_at = -10 * SECOND
        self.load = self.served = 0
        self.lie = None  # says this of its load instead
        self.turn = 0
        self.silent = False
        self.listening = False
        self.token, self.born_at = world.token(seat), world.time

    def step(self, event, now):
        """Takes a tick or a request; `now` is in µs."""
        plan = Plan()
        match event:
            case Tick() if now - self.beat_at >= SECOND and not self.silent:
                self.beat_at, self.turn = now, self.turn + 1
                plan.send(
                    self.registries[self.turn % len(self.registries)],
                    SimBeat(
                        self.service,
                        self.seat.address,
                        self.zone,
                        self.rate,
                        self.rate * self.world.cold_part,
                        self.load if self.lie is None else self.lie,
                        self.token,
                    ),
                )
            case Received(source, SimRequest(method="CONNECT") as instance_check):
                plan.send(
                    source,
                    SimAnswer(
                        instance_check.number,
                        200,
                        whole=self._listens(),
                        incarnation=self.seat.incarnation,
                    ),
                )
            case Received(source, SimRequest() as instance_check) if (
                instance_check.target == HEALTH
            ):
                headers = ((TOKEN_HEADER, self.token),) if self.token else ()
                plan.send(
                    source,
                    SimAnswer(
                        instance_check.number,
                        200,
                        headers,
                        whole=instance_check.incarnation == self.seat.incarnation,
                        incarnation=self.seat.incarnation,
                    ),
                )
            case Received(source, SimRequest() as asked):
                self._answer(source, asked, plan)
        return plan

    def _listens(self):
        """Whether it accepts connections.

        A polite origin that was given a used address waits until a registry has it in force.
        """
        self.listening = (
            self.listening
            or not self.world.polite.get(self.seat.address)
            or any(
                origin.address == self.seat.address
                and origin.service == self.service
                and origin.is_in_force
                for name in self.registries
                if self.world.seats[name].node is not None
                for origin in self.world.seats[name].node.registry.tables.origins.values()
            )
        )
        return self.listening

    def _answer(self, source, asked, plan):
        if asked.incarnation != self.seat.incarnation:
            plan.send(
                source, SimAnswer(asked.number, 0, whole=False, incarnation=self.seat.incarnation)
            )
            return
        path = asked.target.partition("?")[0]
        self.world.traffic.at_origin(self, source, asked, path)
        self.served += 1
        if self.mode == "lost":
            return
        request_headers = dict(asked.headers)
        body = json.dumps(
            {
                "path": asked.target,
                "user": request_headers.get("authorization", ""),
                "service": self.service,
                "version": self.world.traffic.version,
                "wrote": asked.body,
            }
        ).encode()
        shared = asked.method == "GET" and "authorization" not in request_headers
        headers = (
            ("cache-control", f"max-age={self.world.keep}" if shared else "private"),
            ("etag", f'"{self.world.traffic.version}"'),
        )
        if shared and request_headers.get("if-none-match") == f'"{self.world.traffic.version}"':
            plan.send(
                source, SimAnswer(asked.number, 304, headers, incarnation=self.seat.incarnation)
            )
            return
        answer = SimAnswer(
            asked.number, 200, headers, body, self.mode != "short", self.seat.incarnation
        )
        if self.mode == "twice":
            plan.send(source, answer)
        if self.mode in LATE:
            self.load += 1
            self.world.at(LATE[self.mode], self._late, source, answer, self.seat.incarnation)
        else:
            plan.send(source, answer)

    def _late(self, source, answer, incarnation):
        if self.seat.incarnation == incarnation:
            self.load -= 1
            self.world.send_all(self.seat, [(source, answer)])


class SimCaller:
    """Receives the responses to callers' requests and passes them to the rules."""

    def __init__(self, world, seat):
        self.world, self.seat = world, seat

    def step(self, event, now):
        """Takes a response; `now` is in µs."""
        match event:
            case Received(source, SimAnswer() as answer):
                asked = self.world.traffic.asked.get(answer.number)
                self.world.traffic.at_caller(source, answer)
                if asked is not None and answer.status >= REJECTED:
                    self.world.rejected(asked)
        return Plan()
