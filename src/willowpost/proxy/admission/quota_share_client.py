"""Requests quota shares from the services' owners."""

from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.proxy.admission.quota import fencing_token_of, is_admitted_by_tokens, role_of
from willowpost.proxy.admission.quota_share_owner import (
    CHECK_INTERVAL_US,
    GRANT_DURATION_US,
    THOUSANDTHS,
)
from willowpost.proxy.proxy_state import Grant, ProxyState
from willowpost.wire.messages import QuotaShareRequest, QuotaShareResponse

# Weights in the smoothed demand; they add up to 1.
PREVIOUS_DEMAND_WEIGHT, NEWEST_DEMAND_WEIGHT = 0.6, 0.4


@dataclass(frozen=True, slots=True)
class PendingGrantRequest:
    """A request for a grant that has no response yet.

    Attributes:
        service_name: The service.
        sent_at: By this process's clock, in µs.
    """

    service_name: str
    sent_at: int


class QuotaShareClient:
    """Requests grants by demand, and stores them in the node state.

    A grant's duration counts from when its request was sent, so it ends here before it ends at the
    owner.

    Args:
        node_state: The proxy's shared state.
    """

    def __init__(self, node_state: ProxyState) -> None:
        self.node_state = node_state
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "quota_share")
        self.pending: dict[int, PendingGrantRequest] = {}  # by nonce
        self.requested_at = 0
        self.smoothed_demand: dict[str, float] = {}  # by service, requests a second

    def step(self, event: object, now: int) -> Plan:
        """Requests grants from the owners and stores those that come; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(_, QuotaShareResponse() as response) if response.nonce in self.pending:
                self._store_grant(response)
            case Tick() if now - self.requested_at >= CHECK_INTERVAL_US:
                self._request_grants(now, plan)
        return plan

    def _store_grant(self, response: QuotaShareResponse) -> None:
        """Stores a grant of a requested share, if it comes from the present owner."""
        request, service_name = self.pending.pop(response.nonce), response.service
        if service_name != request.service_name:
            return
        if response.fencing_token != fencing_token_of(self.node_state, service_name):
            return
        grant = Grant(
            response.rate / THOUSANDTHS, request.sent_at + GRANT_DURATION_US, response.fencing_token
        )
        self.node_state.grants = {**self.node_state.grants, service_name: grant}

    def _request_grants(self, now: int, plan: Plan) -> None:
        node_state = self.node_state
        elapsed_seconds = max(now - self.requested_at, CHECK_INTERVAL_US) / SECOND
        self.requested_at = now
        self.pending = {
            nonce: request
            for nonce, request in self.pending.items()
            if now - request.sent_at < GRANT_DURATION_US
        }
        demand, node_state.demand = node_state.demand, {}
        for name, service in node_state.snapshot.services.items():
            if node_state.descriptor.id in service.senders and not is_admitted_by_tokens(service):
                self._smooth_demand(name, demand.get(name, 0), elapsed_seconds)
                self._request_grant(name, now, plan)

    def _smooth_demand(self, service_name: str, attempts: int, elapsed_seconds: float) -> None:
        previous = PREVIOUS_DEMAND_WEIGHT * self.smoothed_demand.get(service_name, 0.0)
        newest = NEWEST_DEMAND_WEIGHT * attempts / elapsed_seconds
        self.smoothed_demand[service_name] = previous + newest

    def _request_grant(self, service_name: str, now: int, plan: Plan) -> None:
        """Requests a grant from the service's owner, if there is one."""
        tables = self.node_state.tables
        ownership = tables.ownerships.get(role_of(service_name))
        owner = tables.daemons.get(ownership.owner) if ownership else None
        if ownership is None or owner is None:
            return
        nonce = self.nonces.next()
        self.pending[nonce] = PendingGrantRequest(service_name, now)
        demand = int(self.smoothed_demand[service_name] * THOUSANDTHS)
        request = QuotaShareRequest(nonce, service_name, ownership.fencing_token, demand)
        plan.send(owner.address, request)
