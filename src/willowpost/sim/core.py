"""A simulated core: the stores, and clients that submit operations to them."""

from dataclasses import replace

from willowpost.common.events import SubmitOperations
from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.consensus.replica.records import identity_record
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.consensus.thresholds import Thresholds
from willowpost.node.command_client import CommandClient
from willowpost.sim.rules import CoreRules
from willowpost.sim.world import World, seconds
from willowpost.state.codec import MEMBER
from willowpost.store.node import StoreNode, StoreOptions
from willowpost.wire.messages import Member

ZONES = ("a", "a", "b", "b", "c")


class Caller:
    """A process with a command client only.

    Args:
        name: The client's name.
        cores: Addresses of the stores, in the order they are tried.
        wall: Gives the wall clock in µs.
        incarnation: The process's incarnation.
    """

    def __init__(self, name, cores, wall, incarnation):
        self.command_client = CommandClient(name, incarnation, lambda: cores, wall)

    def step(self, event, now):
        """Passes an event to the command client; `now` is in µs."""
        return self.command_client.step(event, now)


class CoreWorld(World):
    """A world of stores, checked by CoreRules.

    Args:
        seed: Decides all random choices.
        weather: How the network behaves.
        unsafe_send: Whether messages leave before their records are written, to prove the checks.
        pace: Timing of the stores' rounds.
        thresholds: The type that computes quorum sizes.
        zones: The zone of each store, by number.
        regions: Zone to region.
        members: How many bootstrap members there are; by default all stores.
        rights: What the stores may do to the core's membership.
    """

    def __init__(
        self,
        seed,
        weather=None,
        unsafe_send=False,
        pace=ReplicaTuning(),
        thresholds=Thresholds,
        zones=ZONES,
        regions=None,
        members=None,
        rights=VoterPolicy(),
    ):
        super().__init__(seed, weather, unsafe_send)
        self.members, self.rights = members or len(zones), rights
        self.pace, self.thresholds = pace, thresholds
        self.rules = CoreRules()
        self.checks.append(self.rules)
        self.names = [f"s{number}" for number in range(len(zones))]
        self.zones = dict(zip(self.names, zones, strict=False))
        for number, name in enumerate(self.names):
            self.add_store(name, name, zones[number], (regions or {}).get(zones[number], "one"))
        self.asked = 0

    def add_store(self, address, name, zone, region="one"):
        """Adds and starts a store.

        Args:
            address: Its address.
            name: Its name.
            zone: Its zone.
            region: Its region.
        """
        size = self.members

        def build(records, now, wall, incarnation):
            seat = self.seats[address]
            if not records:
                me = Member(f"{name}-{self.chance.randrange(10**9)}", name, zone, address)
                records = [{**identity_record(me), "may_bootstrap": seat.incarnation == 1}]
                seat.disk.records = list(records)
            me = MEMBER.decode(records[0])
            # where bootstrap members are seeds, only the first start of all may found
            is_first_start = records[0].get("may_bootstrap", False)
            rights = replace(
                self.rights,
                may_bootstrap=self.rights.may_bootstrap
                and (is_first_start or not self.rights.bootstrap_from_seeds),
            )
            return StoreNode(
                StoreOptions(
                    member=me,
                    seeds=tuple(self.seeds_of_stores()),
                    bootstrap_voters=size,
                    incarnation=incarnation,
                    tuning=self.pace,
                    thresholds=self.thresholds,
                    voter_policy=rights,
                ),
                records,
                now,
                wall,
            )

        return self.add(address, build, region)

    def seeds_of_stores(self):
        """The addresses that stores start from."""
        return self.names[:3]

    def add_caller(self, address, cores, region="one"):
        """Adds and starts a client that tries these stores in order."""
        return self.add(
            address,
            lambda records, now, wall, incarnation: Caller(address, cores, wall, incarnation),
            region,
        )

    def ask(self, caller, *operations):
        """Submits operations through a client; returns the token of the reply."""
        self.asked += 1
        self.give(caller, SubmitOperations(self.asked, operations))
        return self.asked

    def node_states(self):
        """(seat, node state) of all processes that are up and have a node state."""
        return [
            (seat, seat.node.node_state)
            for seat in self.seats.values()
            if hasattr(seat.node, "node_state")
        ]

    def bootstrapped(self):
        """Whether all running stores have bootstrapped."""
        return all(node_state.is_bootstrapped for _, node_state in self.node_states())

    def settle(self, span=15.0):
        """Ends every fault, runs for `span` seconds and checks that nothing accepted was lost.

        Raises:
            Broken: A rule was broken.
        """
        self.heal()
        self.weather.drop = 0.0
        for name in [
            address
            for address, seat in self.seats.items()
            if seat.node is None and not seat.retired
        ]:
            self.start(name)
        for seat in self.seats.values():
            seat.crash_on_write = 0.0
        self.run(seconds(span))
        self.rules.finish(self, self.node_states())
