"""Quota shares of each service's rate.

A part of the rate is every sender's base quota, which follows from the tables. The rest is granted
by the service's owner according to demand. The base quota keeps traffic going while an owner is
lost or a fence is being waited out. See docs/design/allowances.md.
"""

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.node.node_state import LEASE
from willowpost.proxy.proxy_state import Grant, ProxyState
from willowpost.proxy.routing.snapshot import ServiceCard
from willowpost.state.entries import Ownership
from willowpost.state.operations import AcquireOwnership
from willowpost.wire.messages import QuotaShareRequest, QuotaShareResponse

GRANT_SPAN = 1 * SECOND
FENCE_WAIT = LEASE + GRANT_SPAN
LOOK_EVERY = 250 * MILLI
CLAIM_EVERY = 1 * SECOND
BASE_QUOTA_PART = 0.7
OVER = 1.1
WINDOW = 5.0
WHOLE_BELOW = 0.75


def role_of(service: str) -> str:
    """Return the key of the singleton role that grants a service's quota."""
    return f"quota_share/{service}"


def fencing_token_of(node_state: ProxyState, service: str) -> int | None:
    """Return the fencing token of the owner of a service's quota; None: it has no owner yet."""
    ownership = node_state.tables.ownerships.get(role_of(service))
    return None if ownership is None else ownership.fencing_token


def in_whole_tokens(service: ServiceCard) -> bool:
    """Whether the rate is too small for each sender to use a part of it.

    The owner then gives admission tokens one by one.
    """
    return OVER * service.rate - len(service.senders) / WINDOW < WHOLE_BELOW * OVER * service.rate


def base_quota_of(node_state: ProxyState, service: ServiceCard, now: int) -> float:
    """Requests a second that this proxy may send without a grant."""
    if in_whole_tokens(service) or not node_state.warmed_up(now):
        return 0.0
    part: float = service.parts.get(node_state.descriptor.id, 0.0)
    return BASE_QUOTA_PART * service.rate * part


class QuotaShareTaker:
    """Asks for grants and keeps them.

    A grant's lifetime counts from when it was asked for, so it ends here before it ends at the
    owner.
    """

    def __init__(self, node_state: ProxyState):
        self.node_state = node_state
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "quota_share")
        self.asked: dict[int, tuple[str, int]] = {}  # nonce -> (service, asked at)
        self.looked_at = 0
        self.smooth: dict[str, float] = {}

    def step(self, event: object, now: int) -> Plan:
        """Asks the owners for grants by demand and takes those that come; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(_, QuotaShareResponse(nonce, service, fence, rate)) if (
                nonce in self.asked
            ):
                asked_for, sent_at = self.asked.pop(nonce)
                if service == asked_for and fence == fencing_token_of(self.node_state, service):
                    self.node_state.grants = {
                        **self.node_state.grants,
                        service: Grant(rate / 1000, sent_at + GRANT_SPAN, fence),
                    }
            case Tick() if now - self.looked_at >= LOOK_EVERY:
                self._ask(now, plan)
        return plan

    def _ask(self, now: int, plan: Plan) -> None:
        node_state, span = self.node_state, max(now - self.looked_at, LOOK_EVERY) / SECOND
        self.looked_at = now
        self.asked = {
            nonce: held for nonce, held in self.asked.items() if now - held[1] < GRANT_SPAN
        }
        demand, node_state.demand = node_state.demand, {}
        for name, service in node_state.snapshot.services.items():
            if node_state.descriptor.id not in service.senders or in_whole_tokens(service):
                continue
            self.smooth[name] = 0.6 * self.smooth.get(name, 0.0) + 0.4 * demand.get(name, 0) / span
            ownership = node_state.tables.ownerships.get(role_of(name))
            owner = node_state.tables.daemons.get(ownership.owner) if ownership else None
            if ownership is not None and owner is not None:
                nonce = self.nonces.next()
                self.asked[nonce] = (name, now)
                plan.send(
                    owner.address,
                    QuotaShareRequest(
                        nonce, name, ownership.fencing_token, int(self.smooth[name] * 1000)
                    ),
                )


class QuotaShareOwner:
    """Grants quota shares of the services that this proxy owns.

    Only the owner that the tables name grants, and only while its lease holds. The grants that have
    not expired never add up to more than the owner's part of the rate; a new owner first waits
    until the former one's lease and grants have expired.
    """

    def __init__(self, node_state: ProxyState, command_client: CommandClient):
        self.node_state = node_state
        self.command_client = command_client
        self.since: dict[str, tuple[int, int]] = {}  # key -> (fence, when first seen as ours)
        # service -> {asker: (rate, until)}
        self.granted: dict[str, dict[str, tuple[float, int]]] = {}
        # service -> {asker: (demand, at)}
        self.wanted: dict[str, dict[str, tuple[float, int]]] = {}
        self.claimed_at: dict[str, int] = {}
        self.looked_at = 0

    def step(self, event: object, now: int) -> Plan:
        """Claims services without an owner and grants to those who ask; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(source, QuotaShareRequest() as ask):
                self._grant(source, ask, now, plan)
            case Tick() if now - self.looked_at >= LOOK_EVERY:
                self.looked_at = now
                self._claim(now, plan)
        return plan

    def _claim(self, now: int, plan: Plan) -> None:
        node_state = self.node_state
        live = node_state.live_daemons("proxy")
        claims = []
        for name in node_state.snapshot.services:
            key = role_of(name)
            ownership = node_state.tables.ownerships.get(key, Ownership())
            if ownership.owner == node_state.descriptor.id:
                if self.since.get(key, (0, 0))[0] != ownership.fencing_token:
                    self.since[key] = (ownership.fencing_token, now)
                    self.granted[name], self.wanted[name] = {}, {}
            elif (
                ownership.owner not in live
                and node_state.descriptor.id in live
                and not node_state.is_draining
                and Rendezvous().rank(key, live)[0] == node_state.descriptor.id
                and now - self.claimed_at.get(key, -CLAIM_EVERY) >= CLAIM_EVERY
            ):
                self.claimed_at[key] = now
                claims.append(
                    AcquireOwnership(key, node_state.descriptor.id, ownership.fencing_token)
                )
        if claims:
            plan.join(self.command_client.step(SubmitOperations(None, tuple(claims)), now))
            plan.log("quota_shares", "claims", keys=[claim.key for claim in claims])

    def rules_since(self, name: str, fence: int, now: int) -> int | None:
        """Since when this proxy may grant under this fence, in µs, or None if it may not now.

        It must own the service in the tables, hold a lease, and have waited until no former grant
        holds.
        """
        node_state, key = self.node_state, role_of(name)
        ownership = node_state.tables.ownerships.get(key, Ownership())
        own, since = self.since.get(key, (0, 0))
        if (
            name not in node_state.snapshot.services
            or ownership.owner != node_state.descriptor.id
            or own != ownership.fencing_token
            or fence != own
            or not node_state.holds_ownership_lease(now)
        ):
            return None
        # The very first owner has nobody's grants to wait out; a restarted one has those of its
        # former incarnation.
        ruling = since if own == 1 and key in self.claimed_at else since + FENCE_WAIT
        return ruling if now >= ruling else None

    def _grant(self, source: str, ask: QuotaShareRequest, now: int, plan: Plan) -> None:
        fence = ask.fence
        if self.rules_since(ask.service, fence, now) is None:
            return
        service = self.node_state.snapshot.services[ask.service]
        if in_whole_tokens(service):
            return
        wanted = {
            asker: entry
            for asker, entry in self.wanted.get(ask.service, {}).items()
            if now - entry[1] < 2 * SECOND
        }
        wanted[source] = (ask.demand / 1000, now)
        self.wanted[ask.service] = wanted
        granted = {
            asker: entry
            for asker, entry in self.granted.get(ask.service, {}).items()
            if entry[1] > now and asker != source
        }
        pool = (1 - BASE_QUOTA_PART) * service.rate
        least = pool / 50
        quota_share = (
            pool
            * (wanted[source][0] + least)
            / (sum(demand for demand, _ in wanted.values()) + least * len(wanted))
        )
        rate = max(0.0, min(quota_share, pool - sum(rate for rate, _ in granted.values())))
        self.granted[ask.service] = {**granted, source: (rate, now + GRANT_SPAN)}
        plan.send(source, QuotaShareResponse(ask.nonce, ask.service, fence, int(rate * 1000)))
