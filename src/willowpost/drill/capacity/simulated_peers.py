"""The daemons that are not stepped: they send what their controllers would to those that are."""

from willowpost.common.clock import SECOND
from willowpost.drill.capacity.filled import beat_of, homes_of
from willowpost.node.follower import POLL_EVERY
from willowpost.node.node_state import NodeState
from willowpost.node.watch import PING_EVERY
from willowpost.proxy.admission.quota_shares import LOOK_EVERY
from willowpost.wire.messages import Ping, Poll, Pong, QuotaShareAsk, QuotaShareTell, StateUpdate

ANSWERED = (StateUpdate, Ping, QuotaShareAsk)  # what a simulated peer answers; all else it ignores


class SimulatedPeers:
    """Sends polls, pings, quota requests and heartbeats as often as the controllers do.

    Each peer has its own phase. tests/drill/test_capacity.py compares them with a run of the same
    size in which every daemon is stepped.
    """

    def __init__(self, world, cards):
        self.world = world
        self.cards = {card.address: card for card in cards}
        self.slots = {address: world.tables.slot for address in self.cards}
        self.nonce = 0
        self._homes()
        self._begin()

    def hear(self, address, source, message):
        """Take a message sent to a simulated peer, and answer it if its controller would."""
        match message:
            case StateUpdate(_, slot):
                self.slots[address] = max(self.slots[address], slot)
            case Ping(nonce, _):
                self._say(address, source, Pong(nonce, self.cards[address].incarnation_id))
            case QuotaShareAsk(nonce, service, fence, _):
                self._say(address, source, QuotaShareTell(nonce, service, fence, 1000))

    def _homes(self):
        """Zone -> its first home, by the followers' own order."""
        world = self.world
        self.homes = {
            zone: homes_of(zone, world.cards)[0]
            for zone in {card.zone for card in world.cards.proxies}
        }

    def _begin(self):
        world, seats = self.world, self.world.seats
        stepped = [
            world.tables.daemons[name]
            for name in world.tables.daemons
            if world.tables.daemons[name]["address"] in seats
        ]
        told = [card["address"] for card in stepped if card["kind"] in ("registry", "proxy")]
        owned = [
            (service, card["fence"], address)
            for service, card in world.tables.fences.items()
            for address in [world.tables.daemons[card["owner"]]["address"]]
            if address in seats
        ]
        for card in self.cards.values():
            if card.kind != "store" and (source := self._source(card)) in seats:
                self._every(POLL_EVERY, lambda card=card, source=source: self._poll(card, source))
            for target in world.watched[card.id]:
                address = world.tables.daemons[target]["address"]
                if address in seats:
                    self._every(
                        PING_EVERY,
                        lambda card=card, address=address: self._say(
                            card.address, address, Ping(self._next(), card.incarnation_id)
                        ),
                    )
            if card.kind == "proxy":
                for key, fence, address in owned:
                    self._every(
                        LOOK_EVERY,
                        lambda card=card, key=key, fence=fence, address=address: self._say(
                            card.address,
                            address,
                            QuotaShareAsk(
                                self._next(), key.removeprefix("quota_share/"), fence, 1000
                            ),
                        ),
                    )
        for number, origin in enumerate(world.tables.origins):
            registry = world.cards.registries[number % len(world.cards.registries)]
            if registry.address in self.cards:
                for address in told:
                    self._every(
                        int(world.size.beat_seconds * SECOND),
                        lambda origin=origin, registry=registry, address=address: self._say(
                            registry.address, address, beat_of(origin, world.time // SECOND)
                        ),
                    )

    def _source(self, card):
        home = self.homes.get(card.zone)
        if card.kind == "proxy" and home.id != card.id:
            return home.address
        return NodeState(card, self.world.tables).cores()[0]

    def _poll(self, card, source):
        self._say(card.address, source, Poll(self._next(), self.slots[card.address]))

    def _next(self):
        self.nonce += 1
        return self.nonce

    def _say(self, address, target, message):
        self.world.post(target, self.world.codec.encode(address, message))

    def _every(self, period, act):
        def again():
            act()
            self.world.at(period, again)

        self.world.at(self.world.chance.randrange(period), again)
