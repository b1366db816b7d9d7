"""Sends one request to one receiver, after a last look at all that must hold when it leaves."""

from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.proxy.origin import instance_check as instance_checks
from willowpost.proxy.origin.answer import Echo, WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.routing.answer_check import AnswerCheck
from willowpost.proxy.routing.attempt import Rejected
from willowpost.proxy.routing.request import Request
from willowpost.proxy.routing.snapshot import ServiceCard
from willowpost.proxy.routing.words import Words

LEAST_SECONDS = 0.05  # that an exchange is given, however little is left


@dataclass(frozen=True, slots=True)
class Receiver:
    """Whom a request is sent to.

    Attributes:
        owner: Whom connections belong to in the pool: an origin's incarnation, or a shield.
        address: Where it listens.
        in_force: Whether it is in force by the tables of this moment.
        service: Of an origin; None for a shield.
        instance_check: How to check an origin's identity on a fresh connection, or None.
        most: The most connections open to it, or None.
    """

    owner: str
    address: str
    in_force: Callable[[], bool]
    service: ServiceCard | None = None
    instance_check: InstanceCheck | None = None
    most: int | None = None


class Sender:
    """Sends requests; every byte of one leaves after the same last look.

    Args:
        node_state: The proxy's shared state.
        clock: This process's clock.
        io: Opens connections.
        words: Header names shared with callers and origins.
        answer_check: Judges whose answer came.
        outgoing: Follows what leaves, and checks its invariants.
    """

    def __init__(
        self,
        node_state,
        clock,
        io,
        words: Words,
        answer_check: AnswerCheck,
        outgoing: OutgoingRequests,
    ):
        self.node_state, self.clock, self.io = node_state, clock, io
        self.words, self.answer_check, self.outgoing = words, answer_check, outgoing

    def send(
        self,
        receiver: Receiver,
        request: Request,
        headers: list,
        body: bytes,
        plan,
        deadline: int,
        press: Callable[[], None] = lambda: None,
    ) -> WholeAnswer:
        """Sends a request and returns the response.

        Args:
            receiver: Whom to send it to.
            request: The request.
            headers: As they are sent.
            body: The request's body.
            plan: Its FetchPlan or WritePlan.
            deadline: When to give up, by this process's clock, in µs.
            press: Charges the try, just before the first byte; may raise Rejected.

        Raises:
            ExchangeFailure: No valid response came.
            Rejected: The proxy has no lease any more, or the try is not granted.
            CallerGone: Nobody waits for the response any more.
        """
        once = not request.safe if plan.route.kind is None else plan.route.kind == "once"
        exchange = self.io.open(
            receiver.owner, receiver.address, not once, receiver.most, self._left(deadline)
        )
        answer = None
        try:
            if receiver.instance_check is not None and not exchange.reused:
                exchange.instance_check(
                    receiver.instance_check, min(instance_checks.SECONDS, self._left(deadline))
                )
            self._last_look(receiver, request)
            press()
            answer = self._run(exchange, receiver, request, headers, body, plan, deadline, once)
            return answer
        finally:
            self.io.finish(receiver.owner, exchange, not once, answer)

    def _last_look(self, receiver, request):
        """Makes sure of what must hold when a byte leaves; the lease counts freezes."""
        request.lifetime.check()
        if not self.node_state.may_serve(self.clock.now()):
            raise Rejected(503, "no fresh state updates from the core", 2)
        if not receiver.in_force():
            raise ExchangeFailure("went out of force", sent=False)

    def _run(self, exchange, receiver, request, headers, body, plan, deadline, once):
        echo = Echo(self.words.request, request.name) if request.name is not None else None
        with (
            self.outgoing.sending(request, receiver.owner, once, receiver.in_force()),
            request.lifetime.protected() if once else nullcontext(),
        ):
            answer = exchange.run(
                request.method,
                request.target,
                headers + ([("connection", "close")] if once else []),
                body,
                self._left(deadline),
                plan.route.whole_max,
                echo,
            )
        if receiver.service is not None and self.answer_check.of_another(answer, receiver.service):
            exchange.close()
        return answer

    def _left(self, deadline):
        return max(LEAST_SECONDS, (deadline - self.clock.now()) / SECOND)
