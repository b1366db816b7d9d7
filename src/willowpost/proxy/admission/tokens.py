"""Whole tokens, asked for one by one: how a rate too small to be shared out is kept, and still used by everybody."""
from dataclasses import dataclass

from willowpost.common.clock import MILLI
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.proxy.admission.buckets import Bucket, ramped, ramps_in_tokens
from willowpost.proxy.admission.shares import ShareOwner, in_whole_tokens
from willowpost.proxy.board import ProxyBoard
from willowpost.wire.messages import TokenAsk, TokenTell

ANSWER_WITHIN = 300 * MILLI


@dataclass(frozen=True, slots=True)
class TokenWanted:
    """A request under way needs a token; it waits under `ticket`."""

    ticket: object
    group: str
    origin: str = ""


class TokenTaker:
    """Invariant: every ticket is answered once, at the latest when the owner has been silent for ANSWER_WITHIN."""

    def __init__(self, board: ProxyBoard):
        self.board = board
        self.nonce = 0
        self.open: dict[int, tuple] = {}      # nonce -> (ticket, asked at)

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case TokenWanted() as wanted:
                self._ask(wanted, now, plan)
            case Received(_, TokenTell(nonce, given)) if nonce in self.open:
                plan.replies.append((self.open.pop(nonce)[0], given))
            case Tick():
                for nonce in [nonce for nonce, (_, at) in self.open.items() if now - at > ANSWER_WITHIN]:
                    plan.replies.append((self.open.pop(nonce)[0], False))
        return plan

    def _ask(self, wanted, now, plan):
        held = self.board.tables.fences.get(f"share/{wanted.group}")
        owner = self.board.tables.daemons.get(held["owner"]) if held else None
        if owner is None:
            plan.replies.append((wanted.ticket, False))
            return
        self.nonce += 1
        self.open[self.nonce] = (wanted.ticket, now)
        plan.send(owner["address"], TokenAsk(self.nonce, wanted.group, held["fence"], wanted.origin))


class TokenOwner:
    """Invariant: only the fenced owner gives, from one bucket a key that holds at most one token,
    so any span s holds at most 1 + rate * s of them."""

    def __init__(self, board: ProxyBoard, owner: ShareOwner):
        self.board, self.owner = board, owner
        self.buckets: dict[tuple, Bucket] = {}

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Received(source, TokenAsk(nonce, group, fence, origin)):
                since = self.owner.rules_since(group, fence, now)
                plan.send(source, TokenTell(nonce, since is not None and self._take(group, fence, origin, since, now)))
        return plan

    def _take(self, name, fence, origin, since, now):
        rate = self._rate(self.board.picture.groups[name], origin, now)
        self.buckets = {key: held for key, held in self.buckets.items() if key[1] == fence or key[0] != name}
        filledFrom = max(since, self.board.coldSince.get(origin, now)) if origin else since
        return rate > 0 and self.buckets.setdefault((name, fence, origin), Bucket(0.0, filledFrom)).take(rate, 1.0, now)

    def _rate(self, group, origin, now):
        if not origin:
            return group.rate if in_whole_tokens(group) else 0.0
        card = next((card for card in group.origins if card.name == origin and ramps_in_tokens(card, group)), None)
        return ramped(card, group, now - self.board.coldSince.get(origin, now)) if card is not None else 0.0
