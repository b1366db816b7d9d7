"""One try of a request: to a shield, or to an origin that is picked, admitted and charged for."""

from willowpost.common.clock import MILLI, SECOND
from willowpost.proxy.admission.verdict import Let
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure, Why
from willowpost.proxy.origin.pick import HEAVY
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.routing.answer_check import AnswerCheck
from willowpost.proxy.routing.attempt import NOT_RUN_OUTCOME, SOON, Rejected, Trace
from willowpost.proxy.routing.headers import HOP_REJECT, toward
from willowpost.proxy.routing.request import Request
from willowpost.proxy.routing.sending import Receiver, Sender
from willowpost.proxy.routing.words import Words

EJECT_SPANS = {
    Why.BROKE: SECOND,
    Why.INCARNATION: 5 * SECOND,
    Why.BUSY: SECOND // 10,
    Why.SERVICE: 0,
}
SMOOTH = 0.1
ROUTES_WEIGHED = 4096
FAILED_FROM = 500


class Tries:
    """Makes single tries.

    A response comes from an origin that was in force when the request was sent. Each extra try is
    charged once, by the proxy that sends it to an origin.

    Args:
        node_state: The proxy's shared state.
        clock: This process's clock.
        allowance: Admission by the services' rates.
        ramp: Admission to cold origins.
        budget: The budget of extra tries.
        pick: Ranks the origins.
        io: Opens connections and asks for admission tokens.
        stats: Counters by name.
        words: Header names shared with callers and origins.
        regions: Zone to region.
        outgoing: Follows the requests that leave, and checks their invariants.
    """

    def __init__(
        self,
        node_state,
        clock,
        allowance,
        ramp,
        budget,
        pick,
        io,
        stats,
        words: Words = Words(),
        regions=None,
        outgoing: OutgoingRequests | None = None,
    ):
        self.node_state, self.clock = node_state, clock
        self.allowance, self.ramp, self.budget = allowance, ramp, budget
        self.origins, self.io, self.stats = pick, io, stats
        self.words = words
        self.answer_check = AnswerCheck(words)
        self.regions = regions or {}  # zone -> region
        self.outgoing = outgoing or OutgoingRequests(node_state, clock.now)
        self.sender = Sender(node_state, clock, io, words, self.answer_check, self.outgoing)
        self.sizes: dict[str, float] = {}  # route -> smoothed bytes of its responses

    def shield(
        self, request: Request, plan, name: str, address: str, deadline: int, trace: Trace
    ) -> WholeAnswer:
        """Sends the request to a shield.

        Args:
            request: The request.
            plan: Its FetchPlan.
            name: The shield's id.
            address: Its HTTP address.
            deadline: When to give up, by this process's clock, in µs.
            trace: What has been tried; updated.

        Raises:
            ExchangeFailure: No valid response came, or the shield refused for a reason of its own.
            Rejected: The proxy has no lease any more.
            CallerGone: Nobody waits for the response any more.
        """
        headers = toward(
            request, address, self.node_state.descriptor.id, plan.slot, plan.entry, trace.pressed
        )
        headers = self._for_shield(request, headers, deadline)
        begun = self.clock.now()
        ticket = self.origins.began(name, begun)
        try:
            answer = self.sender.send(
                Receiver(
                    f"shield {name} {address}",
                    address,
                    lambda: name in self.node_state.snapshot.shields,
                ),
                request,
                headers,
                b"",
                plan,
                deadline,
            )
        except ExchangeFailure as failure:
            self.origins.eject(name, self.clock.now())
            trace.pressed |= failure.sent
            raise
        finally:
            self.origins.ended(name, ticket)
        now = self.clock.now()
        self.origins.answered(name, now - begun, None, now)
        refusal = answer.header(HOP_REJECT)
        trace.pressed |= refusal != NOT_RUN_OUTCOME
        if refusal is not None and answer.status < 500:
            # its table differs from the one that this request was planned by
            raise ExchangeFailure(f"shield {name} refused: {answer.status}", sent=trace.pressed)
        return answer

    def origin(
        self, request: Request, plan, body: bytes, deadline: int, trace: Trace, whole: bool = False
    ) -> WholeAnswer:
        """Picks an origin, is admitted to it and sends the request.

        Args:
            request: The request.
            plan: Its FetchPlan or WritePlan.
            body: The request's body.
            deadline: When to give up, by this process's clock, in µs.
            trace: What has been tried; updated.
            whole: Whether to ask for the whole object, whatever range the caller wants.

        Raises:
            ExchangeFailure: No valid response came, or the origin said that it has not run the
                request.
            Rejected: No origin may be tried now, or the proxy has no lease any more.
            CallerGone: Nobody waits for the response any more.
        """
        chosen_origin, service = self._pick(plan, trace)
        trace.tried.add(chosen_origin.name)
        trace.extra, helped = False, False
        begun = self.clock.now()
        ticket = self.origins.began(chosen_origin.name, begun)
        headers = toward(
            request,
            chosen_origin.address,
            None,
            0,
            plan.entry,
            False,
            self.words,
            self._handed_on(request, deadline, begun),
            chosen_origin.token if service.named else None,
            whole,
        )
        try:
            answer = self.sender.send(
                Receiver(
                    chosen_origin.name,
                    chosen_origin.address,
                    lambda: chosen_origin.name in self.node_state.snapshot.origins,
                    service,
                    chosen_origin.instance_check,
                    self._most(service),
                ),
                request,
                headers,
                body,
                plan,
                deadline,
                lambda: self._press(plan.service, trace),
            )
            now = self.clock.now()
            self.origins.answered(
                chosen_origin.name, now - begun, answer.header(self.words.load), now
            )
            self.answer_check.check(answer, service)
            self._weigh(plan.route.name, answer)
            helped = answer.status < FAILED_FROM
            return answer
        except ExchangeFailure as failure:
            now = self.clock.now()
            self.origins.eject(chosen_origin.name, now, EJECT_SPANS[failure.why])
            unreached = failure.silent and not failure.sent
            if unreached or (failure.died and not (service.named and failure.sent)):
                # the next process there is cold, which may be known here before it is in the log;
                # the end of a named incarnation shows by 421
                self.ramp.suspect(chosen_origin.name, now)
            raise
        finally:
            self.origins.ended(chosen_origin.name, ticket)
            if trace.extra:
                self.budget.ended(helped, plan.service)

    def _for_shield(self, request, headers, deadline):
        """Adds the caller's id, which a shield echoes as origins do, and the time that is left.

        The shield gives up when this proxy does.
        """
        words, now = self.words, self.clock.now()
        held = [pair for pair in headers if pair[0] not in (words.request, words.left)]
        left = self._handed_on(request, deadline, now)
        said = [] if request.name is None else [(words.request, request.name)]
        said += [] if left is None else [(words.left, str(max(1, left // MILLI)))]
        return held + said

    def _weigh(self, route, answer):
        if len(self.sizes) > ROUTES_WEIGHED:
            self.sizes.clear()
        held = self.sizes.get(route, 0.0)
        self.sizes[route] = held + SMOOTH * (len(answer.body) - held)

    def _handed_on(self, request, deadline, now):
        return deadline - now if request.left is not None else None

    def _pick(self, plan, trace):
        now = self.clock.now()
        route, service = (
            plan.route,
            self.node_state.snapshot.services.get(plan.service or plan.route.service),
        )
        candidates = (
            self.origins.pick(
                service.origins,
                self._zones(route),
                trace.tried,
                now,
                self.sizes.get(route.name, 0) > HEAVY,
            )
            if service
            else []
        )
        if not candidates:
            raise Rejected(
                503,
                "no origin in force" if not trace.tried else "no further origin in force",
                SOON if trace.tried else 2 * SOON,
            )
        if trace.pressed and not self.budget.left(now, plan.service):
            raise Rejected(503, "no extra try left", 2 * SOON)
        warm = [origin for origin in candidates if not self.ramp.cold(origin, service, now)]
        ordered = warm + [origin for origin in candidates if origin not in warm]
        most = self._most(service)
        roomy = (
            [origin for origin in ordered if self.io.room(origin.name, most)]
            if most is not None
            else ordered
        )
        if not roomy:
            raise Rejected(503, "no connection left", SOON)
        chosen_origin = next(
            (
                origin
                for origin in roomy
                if self._granted(self.ramp.let_in(origin, service, now), plan.service, origin.name)
            ),
            None,
        )
        if chosen_origin is None:
            raise Rejected(503, "the origins are still cold", 2 * SOON)
        if not self._granted(
            self.allowance.let_in(plan.service or route.service, now), plan.service or route.service
        ):
            raise Rejected(503, "no share of the allowance left", 2 * SOON)
        return chosen_origin, service

    def _zones(self, route):
        if route.homes and self.regions:
            home = {zone for zone, region in self.regions.items() if region in route.homes}
            return home if route.zones is None else home & set(route.zones)
        return route.zones

    def _most(self, service):
        """This proxy's part of the connections to one origin of the service; None for no limit."""
        return (
            None
            if service.connections is None
            else max(1, service.connections // max(1, self.node_state.proxies()))
        )

    def _granted(self, verdict: Let, service: str, origin: str = "") -> bool:
        return self.io.token(service, origin) if verdict is Let.ASK else verdict is Let.IN

    def _press(self, service, trace):
        """Charges a try, just before its first byte is sent.

        Raises:
            Rejected: It is an extra try and the budget has none left.
        """
        if trace.pressed and not self.budget.let_in(self.clock.now(), service):
            raise Rejected(503, "no extra try left", 2 * SOON)
        trace.extra = trace.pressed
        self.stats["tries"] += 1
        self.stats["extras"] += trace.pressed
        if not trace.pressed:
            self.budget.first(self.clock.now(), service)
        trace.pressed = True
