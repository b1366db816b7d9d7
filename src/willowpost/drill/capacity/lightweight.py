"""The daemons' own controllers on virtual time, many in one process.

The rest of a large fleet is replaced by simulated peers.
"""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.drill.capacity.filled import (
    FilledTables,
    WatchSets,
    beat_of,
    cards_of,
    homes_of,
    purge_of,
)
from willowpost.drill.capacity.meter import YARDSTICK, Meter
from willowpost.drill.capacity.simulated_peers import ANSWERED, SimulatedPeers
from willowpost.drill.capacity.size import Size
from willowpost.node.failure_detector import FailureDetector
from willowpost.proxy.node import ProxyNode
from willowpost.registry.node import RegistryNode
from willowpost.registry.origin_health import HeartbeatReceived
from willowpost.shell.mesh import FRAME_HEADER
from willowpost.sim.world import World, seconds
from willowpost.store.node import StoreNode, StoreOptions
from willowpost.wire.codec import Codec
from willowpost.wire.messages import Member

LEAVES = 2  # proxies of the sample that are neither home nor owner
REGISTRIES = 2  # registries of the sample


class LightweightFleet(World):
    """A fleet whose messages go through the real codec; a seed decides all of them.

    With `whole` every daemon is stepped. Without it these are: all stores, two registries, the
    first home proxy of one zone, a service's owner and two more proxies. All others are simulated
    peers, which send to these what their controllers would.
    """

    def __init__(self, size: Size, seed: int = 1, whole: bool = False):
        super().__init__(seed)
        self.size, self.codec = size, Codec()
        self.tables = FilledTables().make(size)
        self.cards = cards_of(size)
        self.watched = WatchSets().make(self.tables)
        self.purged = 0
        self.encoded = (None, b"")
        roles = self._roles(whole)
        self.meter = Meter(
            {daemon.address: roles[daemon.id] for daemon in self.cards.all if daemon.id in roles}
        )
        for daemon in self.cards.all:
            if daemon.id in roles:
                self.add(daemon.address, self._build(daemon))
        self.simulated_peers = SimulatedPeers(
            self, [daemon for daemon in self.cards.all if daemon.id not in roles]
        )
        self.stepped = [registry for registry in self.cards.registries if registry.id in roles]
        for number, origin in enumerate(self.tables.origins):
            home = self.cards.registries[number % len(self.cards.registries)]
            if home.id in roles:
                self.at(self.chance.randrange(SECOND), self._beat, home.address, origin)
        self.at(0, self._purge)
        self.at(0, self._look)

    def measure(self, warm: float = 3.5, span: float = 3.0):
        """New owners wait 2.5 s before they grant; only what comes after `warm` is counted."""
        self.run(seconds(warm))
        self.meter.clear()
        self.run(seconds(span))
        return self.meter.figures(span)

    def _roles(self, whole):
        homes = homes_of("zone-0", self.cards)
        owners = {ownership.owner for ownership in self.tables.ownerships.values()}
        picked = {store.id: "store" for store in self.cards.stores} | {
            registry.id: "registry"
            for registry in self.cards.registries[: None if whole else REGISTRIES]
        }
        sampled = [proxy for proxy in homes[1:] if proxy.id not in owners]
        picked |= {
            proxy.id: "proxy" for proxy in (self.cards.proxies if whole else sampled[:LEAVES])
        }
        picked |= {
            homes[0].id: "home",
            **{name: "owner" for name in (owners if whole else sorted(owners - {homes[0].id})[:1])},
        }
        if whole:
            picked |= {
                homes_of(f"zone-{number}", self.cards)[0].id: "home"
                for number in range(self.size.zones)
            }
        return picked

    def _build(self, descriptor):
        seeds = [store.address for store in self.cards.stores[:3]]

        def build(records, now, wall, incarnation):
            if descriptor.kind == "store":
                me = Member(descriptor.id, descriptor.name, descriptor.zone, descriptor.address)
                node_state = ReplicaState(me)
                node_state.install_tables(self.tables)
                node_state.log_floor = node_state.snapshot_slot = self.tables.slot
                node_state.passed_epoch = self.tables.epoch
                node = StoreNode(
                    StoreOptions(
                        member=me,
                        seeds=tuple(seeds),
                        bootstrap_voters=self.size.voters,
                        incarnation=descriptor.incarnation,
                    ),
                    node_state.segment_records(),
                    now,
                    wall,
                )
            else:
                node = (
                    RegistryNode(descriptor, seeds, wall, lambda *probe: None)
                    if descriptor.kind == "registry"
                    else ProxyNode(descriptor, seeds, wall)
                )
                node.node_state.tables = self.tables
            for controller in node.controllers:
                if isinstance(controller, FailureDetector):
                    # a store has read its own copy of the tables
                    controller.watched_tables = controller.tables().daemons
                    controller.watched = self.watched[descriptor.id]
            return node

        return build

    def _beat(self, address, origin):
        self.give(address, HeartbeatReceived(beat_of(origin, self.time // SECOND), True))
        self.at(int(self.size.beat_seconds * SECOND), self._beat, address, origin)

    def _look(self):
        YARDSTICK.look()
        self.at(50 * MILLISECOND, self._look)

    def _purge(self):
        self.purged += 1
        registry = self.stepped[self.purged % len(self.stepped)]
        self.give(registry.address, SubmitOperations(None, (purge_of(self.purged),)))
        self.at(int(SECOND / self.size.purges), self._purge)

    def give(self, address, event):
        """Step a daemon with an event, and count its time."""
        seat = self.seats[address]
        plan, nanos = self.meter.timed(seat.node.step, event, self.now(seat))
        self.meter.spent[address].stepped(nanos)
        self._send(seat, plan)

    def _send(self, seat, plan):
        spent = self.meter.spent[seat.address]
        for address, message in plan.sends:
            if address == seat.address:
                self.at(10, self.give, address, Received(address, message))
                continue
            if self.encoded[0] is not message:  # as the mesh does
                frame, nanos = self.meter.timed(self.codec.encode, seat.address, message)
                self.encoded = (message, frame)
                spent.nanos += nanos
            frame = self.encoded[1]
            spent.told(type(message).__name__, len(frame) + FRAME_HEADER.size)
            self.sent[type(message).__name__] += 1
            if address in self.simulated_peers.descriptors:
                if isinstance(message, ANSWERED):
                    self.at(MILLISECOND, self.simulated_peers.hear, address, seat.address, message)
            else:
                self.post(address, frame)

    def post(self, address, frame) -> None:
        """Deliver an encoded message to a stepped daemon after the network's delay."""
        self.at(
            self.weather.least + self.chance.randrange(self.weather.spread + 1),
            self._arrive,
            address,
            frame,
        )

    def _arrive(self, address, frame):
        spent = self.meter.spent[address]
        (source, message), nanos = self.meter.timed(self.codec.decode, frame)
        spent.nanos += nanos
        spent.heard(type(message).__name__, len(frame) + FRAME_HEADER.size)
        self.give(address, Received(source, message))
