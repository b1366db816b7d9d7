"""Admission tokens, requested one by one.

They limit a rate that is too small to be divided into quota shares and still let every proxy use
it.
"""

from dataclasses import dataclass

from willowpost.common.clock import MILLISECOND
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.proxy.admission.quota import is_admitted_by_tokens, role_of
from willowpost.proxy.admission.quota_share_owner import QuotaShareOwner
from willowpost.proxy.admission.slow_start import is_slow_start_by_tokens, slow_start_rate_of
from willowpost.proxy.admission.token_bucket import TokenBucket
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableService
from willowpost.wire.messages import AdmissionTokenRequest, AdmissionTokenResponse

RESPONSE_TIMEOUT_US = 300 * MILLISECOND
BUCKET_BURST = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionTokenWanted:
    """A request in flight needs a token.

    Attributes:
        ticket: Under which it waits.
        service: The service.
        origin: The origin that warms up; empty for a token of the service's rate.
    """

    ticket: object
    service: str
    origin: str = ""


@dataclass(frozen=True, slots=True)
class PendingTokenRequest:
    """A request for a token that has no response yet.

    Attributes:
        ticket: Under which a request task waits.
        sent_at: By this process's clock, in µs.
    """

    ticket: object
    sent_at: int


class AdmissionTokenClient:
    """Requests tokens on behalf of request tasks.

    Every ticket is answered once, at the latest after RESPONSE_TIMEOUT_US without a response.

    Args:
        node_state: The proxy's shared state.
    """

    def __init__(self, node_state: ProxyState) -> None:
        self.node_state = node_state
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "admission_token")
        self.pending: dict[int, PendingTokenRequest] = {}  # by nonce

    def step(self, event: object, now: int) -> Plan:
        """Requests wanted tokens and answers the tasks that wait; `now` is in µs."""
        plan = Plan()
        match event:
            case AdmissionTokenWanted() as wanted:
                self._request(wanted, now, plan)
            case Received(_, AdmissionTokenResponse(nonce, is_given)) if nonce in self.pending:
                plan.replies.append((self.pending.pop(nonce).ticket, is_given))
            case Tick():
                self._time_out(now, plan)
        return plan

    def _request(self, wanted: AdmissionTokenWanted, now: int, plan: Plan) -> None:
        """Requests a token from the service's owner; answers at once if it has none."""
        tables = self.node_state.tables
        ownership = tables.ownerships.get(role_of(wanted.service))
        owner = tables.daemons.get(ownership.owner) if ownership else None
        if ownership is None or owner is None:
            plan.replies.append((wanted.ticket, False))
            return
        nonce = self.nonces.next()
        self.pending[nonce] = PendingTokenRequest(wanted.ticket, now)
        plan.send(
            owner.address,
            AdmissionTokenRequest(nonce, wanted.service, ownership.fencing_token, wanted.origin),
        )

    def _time_out(self, now: int, plan: Plan) -> None:
        timed_out = [
            nonce
            for nonce, request in self.pending.items()
            if now - request.sent_at > RESPONSE_TIMEOUT_US
        ]
        for nonce in timed_out:
            plan.replies.append((self.pending.pop(nonce).ticket, False))


@dataclass(frozen=True, slots=True)
class BucketKey:
    """What has a token bucket of its own.

    Attributes:
        service: The service.
        fencing_token: Of the ownership under which its tokens are given.
        origin: The origin that warms up; empty for the service's rate.
    """

    service: str
    fencing_token: int
    origin: str


class AdmissionTokenOwner:
    """Gives tokens; only the owner that the fencing token names does so.

    Each key has a bucket of at most one token, so a span of s seconds has at most 1 + rate * s of
    them.

    Args:
        node_state: The proxy's shared state.
        owner: Knows which services this proxy owns.
    """

    def __init__(self, node_state: ProxyState, owner: QuotaShareOwner) -> None:
        self.node_state, self.owner = node_state, owner
        self.buckets: dict[BucketKey, TokenBucket] = {}

    def step(self, event: object, now: int) -> Plan:
        """Gives tokens on request; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(source, AdmissionTokenRequest() as request):
                is_given = self._take(request, now)
                plan.send(source, AdmissionTokenResponse(request.nonce, is_given))
        return plan

    def _take(self, request: AdmissionTokenRequest, now: int) -> bool:
        """Whether a token is given, which is then taken from its bucket."""
        name, fencing_token, origin = request.service, request.fencing_token, request.origin
        since = self.owner.granting_since(name, fencing_token, now)
        if since is None:
            return False
        rate = self._rate(self.node_state.snapshot.services[name], origin, now)
        self.buckets = {
            key: bucket
            for key, bucket in self.buckets.items()
            if key.fencing_token == fencing_token or key.service != name
        }
        if rate <= 0:
            return False
        if origin:
            since = max(since, self.node_state.warming_up_since.get(origin, now))
        key = BucketKey(name, fencing_token, origin)
        bucket = self.buckets.setdefault(key, TokenBucket(0.0, since))
        return bucket.take(rate, BUCKET_BURST, now)

    def _rate(self, service: RoutableService, origin_name: str, now: int) -> float:
        """Returns the tokens a second of a service, or of an origin that warms up; 0 for none."""
        if not origin_name:
            return service.rate if is_admitted_by_tokens(service) else 0.0
        for origin in service.origins:
            if origin.name == origin_name and is_slow_start_by_tokens(origin, service):
                since = self.node_state.warming_up_since.get(origin_name, now)
                return slow_start_rate_of(origin, service, now - since)
        return 0.0
