"""The daemons that are not stepped: they send what their controllers would to those that are."""

from willowpost.common.clock import SECOND
from willowpost.drill.capacity.filled import beat_of, homes_of
from willowpost.node.failure_detector import PING_EVERY
from willowpost.node.follower import POLL_EVERY
from willowpost.node.node_state import NodeState
from willowpost.proxy.admission.quota_shares import LOOK_EVERY
from willowpost.wire.messages import (
    Ping,
    Poll,
    Pong,
    QuotaShareRequest,
    QuotaShareResponse,
    StateUpdate,
)

ANSWERED = (
    StateUpdate,
    Ping,
    QuotaShareRequest,
)  # what a simulated peer answers; all else it ignores


class SimulatedPeers:
    """Sends polls, pings, quota requests and heartbeats as often as the controllers do.

    Each peer has its own phase. tests/drill/test_capacity.py compares them with a run of the
    same size in which every daemon is stepped.
    """

    def __init__(self, world, descriptors):
        self.world = world
        self.descriptors = {descriptor.address: descriptor for descriptor in descriptors}
        self.slots = {address: world.tables.slot for address in self.descriptors}
        self.nonce = 0
        self._homes()
        self._begin()

    def hear(self, address, source, message):
        """Take a message sent to a simulated peer, and answer it if its controller would."""
        match message:
            case StateUpdate(_, slot):
                self.slots[address] = max(self.slots[address], slot)
            case Ping(nonce, _):
                self._say(address, source, Pong(nonce, self.descriptors[address].incarnation_id))
            case QuotaShareRequest(nonce, service, fencing_token, _):
                self._say(address, source, QuotaShareResponse(nonce, service, fencing_token, 1000))

    def _homes(self):
        """Zone -> its first home, by the followers' own order."""
        world = self.world
        self.homes = {
            zone: homes_of(zone, world.cards)[0]
            for zone in {proxy.zone for proxy in world.cards.proxies}
        }

    def _begin(self):
        world, seats = self.world, self.world.seats
        stepped = [daemon for daemon in world.tables.daemons.values() if daemon.address in seats]
        heartbeat_receivers = [
            daemon.address for daemon in stepped if daemon.kind in ("registry", "proxy")
        ]
        owned = [
            (key, ownership.fencing_token, address)
            for key, ownership in world.tables.ownerships.items()
            for address in [world.tables.daemons[ownership.owner].address]
            if address in seats
        ]
        for peer in self.descriptors.values():
            if peer.kind != "store" and (source := self._source(peer)) in seats:
                self._every(POLL_EVERY, lambda peer=peer, source=source: self._poll(peer, source))
            for target in world.watched[peer.id]:
                address = world.tables.daemons[target].address
                if address in seats:
                    self._every(
                        PING_EVERY,
                        lambda peer=peer, address=address: self._say(
                            peer.address, address, Ping(self._next(), peer.incarnation_id)
                        ),
                    )
            if peer.kind == "proxy":
                for key, fencing_token, address in owned:
                    self._every(
                        LOOK_EVERY,
                        lambda peer=peer, key=key, fencing_token=fencing_token, address=address: (
                            self._say(
                                peer.address,
                                address,
                                QuotaShareRequest(
                                    self._next(),
                                    key.removeprefix("quota_share/"),
                                    fencing_token,
                                    1000,
                                ),
                            )
                        ),
                    )
        for number, origin in enumerate(world.tables.origins):
            registry = world.cards.registries[number % len(world.cards.registries)]
            if registry.address in self.descriptors:
                for address in heartbeat_receivers:
                    self._every(
                        int(world.size.beat_seconds * SECOND),
                        lambda origin=origin, registry=registry, address=address: self._say(
                            registry.address, address, beat_of(origin, world.time // SECOND)
                        ),
                    )

    def _source(self, peer):
        home = self.homes.get(peer.zone)
        if peer.kind == "proxy" and home.id != peer.id:
            return home.address
        return NodeState(peer, self.world.tables).store_addresses()[0]

    def _poll(self, peer, source):
        self._say(peer.address, source, Poll(self._next(), self.slots[peer.address]))

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
