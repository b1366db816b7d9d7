"""Attempts that an edge sends to a shield."""

from dataclasses import dataclass

from willowpost.proxy.cache.storage_policy import parse_whole_number
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.request_body import NO_BODY
from willowpost.proxy.routing.attempt import AttemptHistory
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.attempt_times import AttemptKey
from willowpost.proxy.routing.headers import (
    HOP_ATTEMPTS_MADE,
    HOP_REJECT,
    ForwardOptions,
    ShieldHop,
    headers_to_shield,
)
from willowpost.proxy.routing.request import FetchPlan, Request
from willowpost.proxy.routing.sending import ForwardedRequest, Receiver, Sender

SERVER_ERROR_STATUS = 500  # RFC 9110, 15.6: this status and above
GATEWAY_TIMEOUT_STATUS = 504  # RFC 9110, 15.6.5


@dataclass(frozen=True, slots=True)
class Shield:
    """A shield that an attempt is sent to.

    Attributes:
        name: Its id.
        address: Its HTTP address.
    """

    name: str
    address: str


class ShieldAttempts:
    """Sends requests to shields.

    Args:
        resources: State, clock and the measurements of receivers.
        sender: Sends the requests.
    """

    def __init__(self, resources: AttemptResources, sender: Sender) -> None:
        self.resources, self.sender = resources, sender

    def send(
        self,
        request: Request,
        plan: FetchPlan,
        shield: Shield,
        deadline: int,
        history: AttemptHistory,
        allowed: int,
    ) -> OriginResponse:
        """Sends the request to a shield.

        Args:
            request: The request.
            plan: Its plan.
            shield: The shield.
            deadline: When to give up, by this process's clock, in µs.
            history: The attempts made so far; updated.
            allowed: How many attempts at origins the shield may make.

        Raises:
            ExchangeError: No valid response came, or the shield refused for a reason of its own.
            RequestRejectedError: The proxy has no lease any more.
            ClientDisconnected: Nobody waits for the response any more.
        """
        clock, selector = self.resources.clock, self.resources.origin_selector
        forwarded = self._forwarded(request, plan, deadline, history, allowed)
        started_at = clock.now()
        ticket = selector.record_start(shield.name, started_at)
        try:
            response = self.sender.send(self._receiver(shield), forwarded)
        except ExchangeError as failure:
            selector.eject(shield.name, clock.now())
            if failure.was_sent:
                history.record_made(allowed)  # the shield may have used all of them
            if failure.was_sent and failure.timed_out:
                self._record_time(plan, started_at, is_answered=False)
            raise
        finally:
            selector.record_end(shield.name, ticket)
        now = clock.now()
        selector.record_response(shield.name, now - started_at, None, now)
        made = _attempts_made(response, allowed)
        history.record_made(made)
        is_helpful = response.status < SERVER_ERROR_STATUS
        if made and (is_helpful or response.status == GATEWAY_TIMEOUT_STATUS):
            self._record_time(plan, started_at, is_answered=is_helpful)
        if response.header(HOP_REJECT) is not None and is_helpful:
            # Its tables differ from those that this request was planned by.
            raise ExchangeError(
                f"shield {shield.name} refused: {response.status}",
                was_sent=history.may_have_reached_origin,
            )
        return response

    def _record_time(self, plan: FetchPlan, started_at: int, is_answered: bool) -> None:
        """Records how long an attempt took that may have reached an origin."""
        now = self.resources.clock.now()
        key = AttemptKey(plan.service, plan.route.name, is_through_shield=True)
        self.resources.times.record(key, now - started_at, is_answered, now)

    def _forwarded(
        self,
        request: Request,
        plan: FetchPlan,
        deadline: int,
        history: AttemptHistory,
        allowed: int,
    ) -> ForwardedRequest:
        resources = self.resources
        remaining_us = None if request.timeout_us is None else deadline - resources.clock.now()
        headers = headers_to_shield(
            request,
            resources.header_names,
            ForwardOptions(cached_entry=plan.cached_entry, remaining_us=remaining_us),
            ShieldHop(
                resources.node_state.descriptor.id,
                plan.slot,
                plan.service,
                history.may_have_reached_origin,
                plan.keep_us,
                allowed,
            ),
        )
        return ForwardedRequest(request, plan, headers, NO_BODY, deadline)

    def _receiver(self, shield: Shield) -> Receiver:
        node_state = self.resources.node_state
        return Receiver(
            f"shield {shield.name} {shield.address}",
            shield.address,
            lambda: shield.name in node_state.snapshot.shields,
        )


def _attempts_made(response: OriginResponse, allowed: int) -> int:
    """Returns how many attempts at origins a shield has made; all that it may, if it is silent."""
    made = parse_whole_number(response.header(HOP_ATTEMPTS_MADE))
    return allowed if made is None else made
