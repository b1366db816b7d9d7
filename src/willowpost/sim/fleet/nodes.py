"""The fleet's proxies and registries in the simulator, with their real control nodes."""

from collections import Counter

from greenlet import greenlet

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations
from willowpost.common.plan import Plan
from willowpost.node.graceful_shutdown import ShutdownStage
from willowpost.proxy.admission.quota_admission import QuotaAdmission
from willowpost.proxy.admission.retry_budget import RetryBudget
from willowpost.proxy.admission.slow_start import SlowStartAdmission
from willowpost.proxy.node import ProxyNode
from willowpost.proxy.origin.selection import OriginSelector
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.request_parser import attempts_allowed_of, max_age_of, service_of
from willowpost.proxy.routing.attempt import RequestRejectedError
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.attempts import Attempts
from willowpost.proxy.routing.headers import HOP_ATTEMPTS_MADE, HOP_RETRY
from willowpost.proxy.routing.plan_executor import PlanExecutor
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.request import Request
from willowpost.proxy.routing.request_execution import RequestExecution
from willowpost.registry.node import RegistryNode
from willowpost.registry.origin_health import HealthCheckFinished, HeartbeatReceived
from willowpost.registry.origin_lookup import find_incarnation
from willowpost.sim.fleet.messages import SimAnswer, SimBeat, SimCall, SimRequest
from willowpost.sim.fleet.request_io import SimClock, SimRequestIO
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.operations import RegisterOrigin
from willowpost.wire.messages import OriginHeartbeat


class SimProxy:
    """A proxy with the daemon's own control node, cache and plan executor.

    Only time, network and sockets are simulated.
    """

    def __init__(self, world, seat, descriptor: DaemonDescriptor, seeds, wall):
        self.world, self.seat = world, seat
        self.node = ProxyNode(descriptor, seeds, wall)
        self.proxy = self.node.node_state
        self.stats = Counter()
        self.request_io = SimRequestIO(world, seat)
        clock = SimClock(world, seat)
        self.attempts = Attempts(
            AttemptResources(
                node_state=self.proxy,
                clock=clock,
                quota_admission=QuotaAdmission(self.proxy),
                slow_start=SlowStartAdmission(self.proxy),
                retry_budget=RetryBudget(self.proxy.proxy_count, clock.now()),
                origin_selector=OriginSelector(
                    descriptor.zone, world.chance, lambda: self.proxy.reports
                ),
                io=self.request_io,
                stats=self.stats,
                outgoing=OutgoingRequests(self.proxy, clock.now),
            )
        )
        self.execution = RequestExecution(
            RequestPlanner(self.proxy, self.node.cache, clock),
            PlanExecutor(self.proxy, self.node.cache, clock, self.attempts, self.stats),
            self.stats,
        )
        self.in_flight = 0
        self.node.shutdown.in_flight = lambda: self.in_flight

    def step(self, event, now):
        """Takes an event: a request, an answer, or one for the control node; `now` is in µs."""
        if (
            isinstance(event, Received)
            and isinstance(event.message, SimCall | SimRequest)
            and self._closed(event.message)
        ):
            plan = Plan()
            plan.send(
                event.source,
                SimAnswer(event.message.number, 0, whole=False, incarnation=self.seat.incarnation),
            )
            return plan
        match event:
            case Received(_, SimAnswer() as answer):
                self.request_io.answered(answer)
                return Plan()
            case Received(source, SimCall() as call):
                self._spawn(self._serve, source, call.number, call.request, call.body, None)
                return Plan()
            case Received(source, SimRequest(method="CONNECT") as instance_check):
                plan = Plan()
                plan.send(
                    source, SimAnswer(instance_check.number, 200, incarnation=self.seat.incarnation)
                )
                return plan
            case Received(source, SimRequest() as asked):
                headers = dict(asked.headers)
                request = Request(
                    asked.method,
                    headers.get("host", ""),
                    asked.target,
                    {name: value for name, value in headers.items() if name != "host"},
                    True,
                    HOP_RETRY in headers,
                    service_of(headers),
                    max_age_of(headers),
                    attempts_allowed_of(headers),
                )
                self._spawn(
                    self._serve, source, asked.number, request, asked.body, asked.incarnation
                )
                return Plan()
        plan = self.node.step(event, now)
        for ticket, given in plan.replies:
            if isinstance(ticket, tuple):
                self.request_io.told(ticket, given)
        return plan

    def _closed(self, message):
        """Whether the listener is closed to this message; open connections go on."""
        return self.node.shutdown.stage not in (ShutdownStage.SERVING, ShutdownStage.DRAINING) and (
            isinstance(message, SimCall) or message.method == "CONNECT"
        )

    def _spawn(self, call, *args):
        task = greenlet(call)
        task.switch(*args)
        self.request_io.flush()

    def _serve(self, source, number, request, body, incarnation):
        self.in_flight += 1
        try:
            self._carry(source, number, request, body)
        finally:
            self.in_flight -= 1

    def _carry(self, source, number, request, body):
        try:
            outcome = self.execution.run(request, RequestBody((body.encode(),) if body else ()))
            headers = [pair for pair in outcome.answer.headers if pair[0] != "age"]
            headers += [("age", str(outcome.age // SECOND))] if outcome.age is not None else []
            headers += [("wp-slot", str(outcome.slot))] if request.is_from_edge else []
            headers += _attempts_made(request)
            answer = SimAnswer(
                number,
                outcome.answer.status,
                tuple(headers),
                outcome.answer.body,
                incarnation=self.seat.incarnation,
            )
        except RequestRejectedError as reject:
            answer = SimAnswer(
                number,
                reject.status,
                (
                    ("wp-outcome", reject.outcome),
                    ("retry-after", str(reject.retry_after_seconds)),
                    *_attempts_made(request),
                ),
                reject.reason.encode(),
                incarnation=self.seat.incarnation,
            )
        self.request_io.sends.append((source, answer))


def _attempts_made(request):
    """Returns the header by which a shield tells an edge what attempts it has made."""
    return [(HOP_ATTEMPTS_MADE, str(request.history.made))] if request.is_from_edge else []


class SimRegistry:
    """A registry with the daemon's own control node; its health checks are simulated."""

    def __init__(self, world, seat, descriptor: DaemonDescriptor, seeds, wall):
        self.world, self.seat = world, seat
        self.node = RegistryNode(descriptor, seeds, wall, self._probe)
        self.registry = self.node.node_state
        self.node.shutdown.in_flight = self.node.command_client.waiting

    def _probe(self, origin, address, path):
        seat = self.world.seats.get(address)
        is_healthy = (
            seat is not None
            and seat.node is not None
            and seat.frozen_until <= self.world.time
            and (self.seat.address, address) not in self.world.cuts
        )
        finished = HealthCheckFinished(origin, is_healthy)
        self.world.at(5 * MILLISECOND, self.world.give, self.seat.address, finished)

    def step(self, event, now):
        """Takes an event; heartbeats become registrations or reports; `now` is in µs."""
        match event:
            case Received(_, SimBeat() as beat):
                tables = self.registry.tables
                name = find_incarnation(tables, beat.address, beat.service, beat.token or None)
                if name is not None:
                    self.world.traffic.learned_move(beat.address, beat.service)
                    heartbeat = OriginHeartbeat(name, beat.load)
                    return self.node.step(HeartbeatReceived(heartbeat), now)
                registration = RegisterOrigin(
                    address=beat.address,
                    service=beat.service,
                    zone=beat.zone,
                    rate=beat.rate,
                    slow_start_rate=beat.slow_start_rate,
                    token=beat.token or None,
                )
                return self.node.step(SubmitOperations(None, (registration,)), now)
        return self.node.step(event, now)
