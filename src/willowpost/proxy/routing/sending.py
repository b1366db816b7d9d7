"""Sends one request to one receiver, after a last check of all that must hold when it leaves."""

from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.proxy.origin import instance_check as instance_checks
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.origin.request import OriginRequest
from willowpost.proxy.origin.response import OriginResponse, RequestIdEcho
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.routing.attempt import BodyReleasedError, LeaseExpiredError, RouteChangedError
from willowpost.proxy.routing.attempt_resources import AttemptResources, ForwardExchange
from willowpost.proxy.routing.headers import HeaderList
from willowpost.proxy.routing.request import ONCE, ForwardPlan, Request
from willowpost.proxy.routing.response_check import ResponseCheck
from willowpost.proxy.routing.route_check import is_plan_in_force
from willowpost.proxy.routing.snapshot import RoutableService

MIN_EXCHANGE_SECONDS = 0.05  # however little time remains
CLOSE_CONNECTION = ("connection", "close")  # RFC 9112, 9.6


@dataclass(frozen=True, slots=True)
class Receiver:
    """Whom a request is sent to.

    Attributes:
        owner: Whom connections belong to in the pool: an origin's incarnation, or a shield.
        address: Where it listens.
        is_in_force: Whether it is in force by the tables of this moment.
        service: Of an origin; None for a shield.
        instance_check: How to check an origin's identity on a fresh connection, or None.
        max_connections: The most connections open to it, or None.
    """

    owner: str
    address: str
    is_in_force: Callable[[], bool]
    service: RoutableService | None = None
    instance_check: InstanceCheck | None = None
    max_connections: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is sent to a receiver.

    Attributes:
        request: The caller's request.
        plan: Its plan.
        headers: As they are sent.
        body: As it is sent.
        deadline: When to give up, by this process's clock, in µs.
    """

    request: Request
    plan: ForwardPlan
    headers: HeaderList
    body: RequestBody
    deadline: int

    @property
    def is_at_most_once(self) -> bool:
        """Whether an origin may run it only once."""
        kind = self.plan.route.kind
        return not self.request.is_safe if kind is None else kind == ONCE


def _no_charge() -> None:
    """Charges nothing."""


class Sender:
    """Sends requests; every byte of one leaves after the same last check.

    Args:
        resources: State, clock, connections and header names.
        response_check: Judges which process a response comes from.
    """

    def __init__(self, resources: AttemptResources, response_check: ResponseCheck) -> None:
        self.node_state, self.clock, self.io = resources.node_state, resources.clock, resources.io
        self.outgoing, self.header_names = resources.outgoing, resources.header_names
        self.response_check = response_check

    def send(
        self,
        receiver: Receiver,
        forwarded: ForwardedRequest,
        charge: Callable[[], None] = _no_charge,
    ) -> OriginResponse:
        """Sends a request and returns the response.

        Args:
            receiver: Whom to send it to.
            forwarded: The request as it is sent.
            charge: Charges the attempt, just before the first byte; may raise
                RequestRejectedError.

        Raises:
            ExchangeError: No valid response came.
            RequestRejectedError: The proxy has no lease any more, the attempt is not granted, the
                request is to be planned anew, or its body is not there any more.
            ClientDisconnected: Nobody waits for the response any more.
        """
        if not forwarded.body.retain():
            raise BodyReleasedError
        may_reuse = not forwarded.is_at_most_once
        exchange = self.io.open(
            receiver.owner,
            receiver.address,
            may_reuse,
            receiver.max_connections,
            self._remaining_seconds(forwarded.deadline),
        )
        response = None
        try:
            self._check_instance(exchange, receiver, forwarded.deadline)
            self._check_before_sending(receiver, forwarded)
            charge()
            response = self._run(exchange, receiver, forwarded)
            return response
        finally:
            self.io.release(receiver.owner, exchange, may_reuse, response)

    def _check_instance(self, exchange: ForwardExchange, receiver: Receiver, deadline: int) -> None:
        if receiver.instance_check is not None and not exchange.is_reused:
            exchange.check_instance(
                receiver.instance_check,
                min(instance_checks.TIMEOUT_SECONDS, self._remaining_seconds(deadline)),
            )

    def _check_before_sending(self, receiver: Receiver, forwarded: ForwardedRequest) -> None:
        """Makes sure of what must hold when a byte leaves; the lease counts freezes."""
        forwarded.request.lifetime.check()
        if not self.node_state.may_serve(self.clock.now()):
            raise LeaseExpiredError
        if not is_plan_in_force(forwarded.plan, forwarded.request, self.node_state.snapshot):
            raise RouteChangedError
        if not receiver.is_in_force():
            raise ExchangeError("went out of force", was_sent=False)

    def _run(
        self, exchange: ForwardExchange, receiver: Receiver, forwarded: ForwardedRequest
    ) -> OriginResponse:
        request, once = forwarded.request, forwarded.is_at_most_once
        with (
            self.outgoing.sending(request, receiver.owner, once, receiver.is_in_force()),
            request.lifetime.protected() if once else nullcontext(),
        ):
            response = exchange.run(
                OriginRequest(
                    request.method,
                    request.target,
                    [*forwarded.headers, CLOSE_CONNECTION] if once else forwarded.headers,
                    forwarded.body,
                ),
                self._remaining_seconds(forwarded.deadline),
                forwarded.plan.route.whole_max,
                self._expected_echo(request),
                request.response_memory,
            )
        service = receiver.service
        if service is not None and self.response_check.is_from_other_process(response, service):
            exchange.close()
        return response

    def _expected_echo(self, request: Request) -> RequestIdEcho | None:
        if request.request_id is None:
            return None
        return RequestIdEcho(self.header_names.request_id, request.request_id)

    def _remaining_seconds(self, deadline: int) -> float:
        return max(MIN_EXCHANGE_SECONDS, (deadline - self.clock.now()) / SECOND)
