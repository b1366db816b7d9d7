"""Admission tokens, asked for one by one.

They keep a rate that is too small to be divided into quota shares and still let every proxy use it.
"""

from dataclasses import dataclass

from willowpost.common.clock import MILLI
from willowpost.common.events import Received, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.common.plan import Plan
from willowpost.proxy.admission.buckets import Bucket, ramped, ramps_in_tokens
from willowpost.proxy.admission.quota_shares import QuotaShareOwner, in_whole_tokens, role_of
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import ServiceCard
from willowpost.wire.messages import AdmissionTokenRequest, AdmissionTokenResponse

ANSWER_WITHIN = 300 * MILLI


@dataclass(frozen=True, slots=True)
class AdmissionTokenWanted:
    """A request under way needs a token; it waits under `ticket`."""

    ticket: object
    service: str
    origin: str = ""


class AdmissionTokenTaker:
    """Asks for tokens on behalf of request tasks.

    Every ticket is answered once, at the latest when the owner has been silent for ANSWER_WITHIN.
    """

    def __init__(self, node_state: ProxyState):
        self.node_state = node_state
        descriptor = node_state.descriptor
        self.nonces = NonceSequence(descriptor.id, descriptor.incarnation, "admission_token")
        self.open: dict[int, tuple[object, int]] = {}  # nonce -> (ticket, asked at)

    def step(self, event: object, now: int) -> Plan:
        """Asks for wanted tokens and answers those that wait; `now` is in µs."""
        plan = Plan()
        match event:
            case AdmissionTokenWanted() as wanted:
                self._ask(wanted, now, plan)
            case Received(_, AdmissionTokenResponse(nonce, given)) if nonce in self.open:
                plan.replies.append((self.open.pop(nonce)[0], given))
            case Tick():
                for nonce in [
                    nonce for nonce, (_, at) in self.open.items() if now - at > ANSWER_WITHIN
                ]:
                    plan.replies.append((self.open.pop(nonce)[0], False))
        return plan

    def _ask(self, wanted: AdmissionTokenWanted, now: int, plan: Plan) -> None:
        tables = self.node_state.tables
        ownership = tables.ownerships.get(role_of(wanted.service))
        owner = tables.daemons.get(ownership.owner) if ownership else None
        if ownership is None or owner is None:
            plan.replies.append((wanted.ticket, False))
            return
        nonce = self.nonces.next()
        self.open[nonce] = (wanted.ticket, now)
        plan.send(
            owner.address,
            AdmissionTokenRequest(nonce, wanted.service, ownership.fencing_token, wanted.origin),
        )


class AdmissionTokenOwner:
    """Gives tokens; only the owner that the fence names does so.

    Each key has a bucket of at most one token, so a span of s seconds holds at most 1 + rate * s of
    them.
    """

    def __init__(self, node_state: ProxyState, owner: QuotaShareOwner):
        self.node_state, self.owner = node_state, owner
        self.buckets: dict[tuple[str, int, str], Bucket] = {}

    def step(self, event: object, now: int) -> Plan:
        """Gives tokens to those who ask; `now` is in µs."""
        plan = Plan()
        match event:
            case Received(source, AdmissionTokenRequest(nonce, service, fence, origin)):
                since = self.owner.rules_since(service, fence, now)
                plan.send(
                    source,
                    AdmissionTokenResponse(
                        nonce, since is not None and self._take(service, fence, origin, since, now)
                    ),
                )
        return plan

    def _take(self, name: str, fence: int, origin: str, since: int, now: int) -> bool:
        rate = self._rate(self.node_state.snapshot.services[name], origin, now)
        self.buckets = {
            key: held for key, held in self.buckets.items() if key[1] == fence or key[0] != name
        }
        filled_from = max(since, self.node_state.cold_since.get(origin, now)) if origin else since
        return rate > 0 and self.buckets.setdefault(
            (name, fence, origin), Bucket(0.0, filled_from)
        ).take(rate, 1.0, now)

    def _rate(self, service: ServiceCard, origin: str, now: int) -> float:
        if not origin:
            return service.rate if in_whole_tokens(service) else 0.0
        card = next(
            (
                card
                for card in service.origins
                if card.name == origin and ramps_in_tokens(card, service)
            ),
            None,
        )
        return (
            ramped(card, service, now - self.node_state.cold_since.get(origin, now))
            if card is not None
            else 0.0
        )
