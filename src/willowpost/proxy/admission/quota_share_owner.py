"""Grants quota shares of the services that this proxy owns."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.node.node_state import LEASE
from willowpost.proxy.admission.quota import grantable_rate_of, is_admitted_by_tokens, role_of
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableService
from willowpost.state.entries import DaemonEntry, Ownership
from willowpost.state.operations import AcquireOwnership
from willowpost.wire.messages import QuotaShareRequest, QuotaShareResponse

GRANT_DURATION_US = 1 * SECOND
# Until no grant of a previous owner is valid.
OWNERSHIP_WAIT_US = LEASE + GRANT_DURATION_US
CHECK_INTERVAL_US = 250 * MILLI
CLAIM_INTERVAL_US = 1 * SECOND
DEMAND_LIFETIME_US = 2 * SECOND
# Rates and demand are sent in thousandths of a request a second.
THOUSANDTHS = 1000
# Each sender is granted something, as if its demand were larger by the grantable rate over this.
MIN_GRANT_DIVISOR = 50
FIRST_FENCING_TOKEN = 1
NO_OWNERSHIP = Ownership()


@dataclass(frozen=True, slots=True)
class ReportedDemand:
    """A sender's demand.

    Attributes:
        rate: Requests a second.
        reported_at: By this process's clock, in µs.
    """

    rate: float
    reported_at: int


@dataclass(frozen=True, slots=True)
class GrantedRate:
    """A sender's grant.

    Attributes:
        rate: Requests a second.
        expires_at: By this process's clock, in µs.
    """

    rate: float
    expires_at: int


@dataclass(slots=True)
class OwnedService:
    """A service that this proxy owns, owned, or has claimed.

    Attributes:
        fencing_token: Under which this proxy last owned it; 0: it never did.
        owned_since: When the ownership was first seen in the tables, in µs.
        claimed_at: When this proxy last claimed it, in µs; None: never.
        grants: Sender's address to its last grant.
        demands: Sender's address to its last demand.
    """

    fencing_token: int = 0
    owned_since: int = 0
    claimed_at: int | None = None
    grants: dict[str, GrantedRate] = field(default_factory=dict)
    demands: dict[str, ReportedDemand] = field(default_factory=dict)

    def start_ownership(self, fencing_token: int, now: int) -> None:
        """Starts a new ownership, without grants; `now` is in µs."""
        self.fencing_token, self.owned_since = fencing_token, now
        self.grants, self.demands = {}, {}

    def may_claim(self, now: int) -> bool:
        """Whether the last claim is long enough ago; `now` is in µs."""
        return self.claimed_at is None or now - self.claimed_at >= CLAIM_INTERVAL_US

    def may_grant_from(self) -> int:
        """Returns from when on grants cannot overlap with those of a previous owner, in µs.

        The very first owner has nobody's grants to wait out; a restarted one has those of its
        previous incarnation.
        """
        if self.fencing_token == FIRST_FENCING_TOKEN and self.claimed_at is not None:
            return self.owned_since
        return self.owned_since + OWNERSHIP_WAIT_US


class QuotaShareOwner:
    """Grants quota shares of the services that this proxy owns.

    Only the owner that the tables name grants, and only under a valid lease. The grants that have
    not expired never add up to more than the grantable rate; a new owner first waits until the
    previous one's lease and grants have expired.

    Args:
        node_state: The proxy's shared state.
        command_client: Submits operations to the log.
    """

    def __init__(self, node_state: ProxyState, command_client: CommandClient) -> None:
        self.node_state = node_state
        self.command_client = command_client
        self.services: dict[str, OwnedService] = {}
        self.checked_at = 0

    def step(self, event: object, now: int) -> Plan:
        """Claims services without an owner and grants on request; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(source, QuotaShareRequest() as request):
                self._grant(source, request, now, plan)
            case Tick() if now - self.checked_at >= CHECK_INTERVAL_US:
                self.checked_at = now
                self._check_ownerships(now, plan)
        return plan

    def granting_since(self, service_name: str, fencing_token: int, now: int) -> int | None:
        """Returns since when this proxy may grant, in µs, or None if it may not now.

        It must own the service in the tables, under this fencing token and a valid lease, and have
        waited until no grant of a previous owner is valid.

        Args:
            service_name: The service.
            fencing_token: That the sender knows.
            now: This process's clock, in µs.
        """
        node_state = self.node_state
        ownership = self._ownership(service_name)
        service = self.services.get(service_name, OwnedService())
        if (
            service_name not in node_state.snapshot.services
            or ownership.owner != node_state.descriptor.id
            or service.fencing_token != ownership.fencing_token
            or fencing_token != service.fencing_token
            or not node_state.holds_ownership_lease(now)
        ):
            return None
        since = service.may_grant_from()
        return since if now >= since else None

    def _ownership(self, service_name: str) -> Ownership:
        return self.node_state.tables.ownerships.get(role_of(service_name), NO_OWNERSHIP)

    def _check_ownerships(self, now: int, plan: Plan) -> None:
        """Notices new ownerships and claims services whose owner is not up."""
        live = self.node_state.live_daemons("proxy")
        own_id = self.node_state.descriptor.id
        claims = []
        for name in self.node_state.snapshot.services:
            ownership = self._ownership(name)
            service = self.services.setdefault(name, OwnedService())
            if ownership.owner == own_id:
                if service.fencing_token != ownership.fencing_token:
                    service.start_ownership(ownership.fencing_token, now)
            elif ownership.owner not in live and self._is_next_owner(name, live, now):
                service.claimed_at = now
                claims.append(AcquireOwnership(role_of(name), own_id, ownership.fencing_token))
        if claims:
            plan.join(self.command_client.step(SubmitOperations(None, tuple(claims)), now))
            plan.log("quota_shares", "claims ownership", roles=[claim.key for claim in claims])

    def _is_next_owner(self, service_name: str, live: Mapping[str, DaemonEntry], now: int) -> bool:
        """Whether this proxy is to claim a service without an owner now."""
        own_id = self.node_state.descriptor.id
        return (
            own_id in live
            and not self.node_state.is_draining
            and Rendezvous().rank(role_of(service_name), live)[0] == own_id
            and self.services[service_name].may_claim(now)
        )

    def _grant(self, sender: str, request: QuotaShareRequest, now: int, plan: Plan) -> None:
        """Grants a sender its share of the rate by the demand of all senders."""
        if self.granting_since(request.service, request.fence, now) is None:
            return
        service = self.node_state.snapshot.services[request.service]
        if is_admitted_by_tokens(service):
            return
        owned = self.services.setdefault(request.service, OwnedService())
        demand = ReportedDemand(request.demand / THOUSANDTHS, now)
        owned.demands = {**_recent(owned.demands, now), sender: demand}
        other_grants = {
            other: grant
            for other, grant in owned.grants.items()
            if grant.expires_at > now and other != sender
        }
        rate = _grant_of(sender, service, owned.demands, other_grants)
        owned.grants = {**other_grants, sender: GrantedRate(rate, now + GRANT_DURATION_US)}
        response = QuotaShareResponse(
            request.nonce, request.service, request.fence, int(rate * THOUSANDTHS)
        )
        plan.send(sender, response)


def _recent(demands: dict[str, ReportedDemand], now: int) -> dict[str, ReportedDemand]:
    return {
        sender: demand
        for sender, demand in demands.items()
        if now - demand.reported_at < DEMAND_LIFETIME_US
    }


def _grant_of(
    sender: str,
    service: RoutableService,
    demands: dict[str, ReportedDemand],
    other_grants: dict[str, GrantedRate],
) -> float:
    """Returns the requests a second to grant: by demand, and no more than is not granted yet."""
    grantable = grantable_rate_of(service)
    minimum = grantable / MIN_GRANT_DIVISOR
    total_demand = sum(demand.rate for demand in demands.values()) + minimum * len(demands)
    share = grantable * (demands[sender].rate + minimum) / total_demand
    return max(0.0, min(share, grantable - sum(grant.rate for grant in other_grants.values())))
