"""Seeded fault schedules over a whole simulated fleet, across the brief's list of what fails."""

from itertools import permutations

from willowpost.common.clock import MILLI, SECOND
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import Weather

ROUNDS = 24
NEWCOMERS = 2


class FleetFaultSchedule:
    """Invariant: run() raises Broken at the first step that breaks a promise.

    `trace` tells what was done until then.
    """

    def __init__(
        self,
        seed: int,
        only=None,
        rounds: int = ROUNDS,
        wide: bool = False,
        regions=None,
        between: int = 0,
        **world,
    ):
        far = {
            (one, other): between * MILLI
            for one, other in permutations(sorted(set((regions or {}).values())), 2)
        }
        self.world = FleetWorld(seed, Weather(drop=0.002, between=far), regions=regions, **world)
        self.rounds = rounds
        self.trace: list[tuple[int, str]] = []
        self.newcomers = 0
        kinds = (
            self.kill_store,
            self.kill_registry,
            self.kill_proxy,
            self.kill_shield,
            self.kill_stores,
            self.kill_edges,
            self.dark_zone,
            self.cut_zone,
            self.split_core,
            self.isolate,
            self.freeze,
            self.freeze,
            self.jump,
            self.tear,
            self.lose_disk,
            self.newcomer,
            self.origin_down,
            self.origin_mode,
            self.origin_back,
            self.drain,
            self.move_address,
            self.service_down,
            self.configuration,
            self.race,
            self.purge,
            self.purges,
            self.replace,
            self.replace,
            self.empty,
            self.restore,
            self.mend,
            self.mend,
            self.mend,
        )
        # `wide` came later: without it, the seeds that were recorded before still mean what they
        # did
        kinds += (
            (
                self.cut_pair,
                self.cut_one_way,
                self.lossy,
                self.fault_schedule_of_purges,
                self.replace_voter_seeds,
            )
            if wide
            else ()
        )
        self.kinds = [kind for kind in kinds if only is None or kind.__name__ in only]

    def run(self) -> "FleetFaultSchedule":
        world = self.world
        world.open()
        for _ in range(self.rounds):
            chosen_fault = world.chance.choice(self.kinds)
            self.trace.append((world.time, chosen_fault.__name__))
            chosen_fault()
            for _ in range(world.chance.randrange(1, 12)):
                world.run(100 * MILLI)
        self.trace.append((world.time, "settle"))
        world.settle()
        return self

    def _one(self, names):
        return self.world.chance.choice(list(names))

    def _up(self, names):
        return [name for name in names if self.world.seats[name].node is not None]

    def _kill(self, names):
        for name in self._up(names):
            self.world.crash(name)

    def _registry(self):
        return self.world.chance.randrange(5)

    def _machine(self):
        number = self.world.chance.randrange(5)
        return [
            name for name in (f"s{number}", f"r{number}", f"h{number}") if name in self.world.seats
        ]

    # kills

    def kill_store(self):
        self._kill([self._one(self.world.stores())])

    def kill_registry(self):
        self._kill([self._one(self.world.registries)])

    def kill_proxy(self):
        self._kill([self._one(self.world.edges)])

    def kill_shield(self):
        self._kill([self._one(self.world.shields)])

    def kill_edges(self):
        self._kill(self.world.edges)

    def kill_stores(self):
        up = self._up(self.world.stores())
        self._kill(up)
        for name in up:
            self.world.start(name)

    def dark_zone(self):
        names = self._up(self.world.zone_seats(self._one("abcd")))
        self._kill(names)
        for name in names:
            self.world.seats[name].dark = True

    def lose_disk(self):
        """At most one disk is lost at a time: the fleet is asked to bear one."""
        world = self.world
        holders = [
            member["name"]
            for _, node_state in world.node_states()
            for member in node_state.tables.core
        ]
        whole = {
            name
            for name in world.names
            if any(
                seat.address == name and node_state.voter
                for seat, node_state in world.node_states()
            )
        }
        if holders and len(whole) == 5:
            name = self._one(world.names)
            world.crash(name, lose_disk=True)
            world.start(name)

    def newcomer(self):
        """A core machine is gone for good; an empty one stands up at a new address."""
        world = self.world
        voters = {seat.address for seat, node_state in world.node_states() if node_state.voter}
        if (
            self.newcomers < NEWCOMERS
            and len(voters) == 5
            and voters <= set(self._up(world.stores()))
        ):
            self.newcomers += 1
            lost = self._one(sorted(voters))
            zone = world.zones[lost]
            world.crash(lost, lose_disk=True)
            name = f"s{9 - self.newcomers}"
            world.seats[lost].retired = True
            world.names = [held for held in world.names if held != lost] + [name]
            world.zones[name] = zone
            world.add_store(name, name, zone)

    # cuts, freezes, clocks, disks

    def cut_zone(self):
        inside = set(self.world.zone_seats(self._one("abcd")))
        self.world.heal()
        self.world.cut(sorted(inside), sorted(set(self.world.seats) - inside))

    def split_core(self):
        side = set(self.world.chance.sample(self.world.stores(), 2))
        self.world.heal()
        self.world.cut(sorted(side), sorted(set(self.world.seats) - side))

    def isolate(self):
        alone = (
            set(self._machine())
            if self.world.chance.random() < 0.5
            else {self._one(self.world.edges)}
        )
        self.world.heal()
        self.world.cut(sorted(alone), sorted(set(self.world.seats) - alone))

    def cut_pair(self):
        """Two zones do not reach each other; both reach the others."""
        one, other = self.world.chance.sample("abcd", 2)
        self.world.heal()
        self.world.cut(self.world.zone_seats(one), self.world.zone_seats(other))

    def cut_one_way(self):
        """What one machine says is not heard; what is said to it is."""
        mute = (
            self._machine() if self.world.chance.random() < 0.5 else [self._one(self.world.edges)]
        )
        self.world.heal()
        self.world.cuts |= {
            (name, other) for name in mute for other in self.world.seats if other not in mute
        }

    def lossy(self):
        self.world.weather.drop = 0.08

    def fault_schedule_of_purges(self):
        for number in range(60):
            self.world.operate(
                number % 5,
                {"op": "purge", "kind": "item", "host": "*", "path": f"/art/{number % 40}"},
                lambda answer: None,
            )

    def replace_voter_seeds(self):
        """The seeds are others from now on: proxies and registries that start later get them."""
        self.world.seed_names = self.world.chance.sample(
            self.world.registries + self.world.edges, 3
        )

    def freeze(self):
        names = (
            self._machine()
            if self.world.chance.random() < 0.4
            else [self._one(self.world.edges + self.world.shields)]
        )
        span = self.world.chance.randrange(4 * SECOND)
        for name in names:
            self.world.freeze(name, span)

    def jump(self):
        self.world.seats[self._one(self.world.seats)].wall_skew = self.world.chance.randrange(
            -(10**10), 10**10
        )

    def tear(self):
        self.world.seats[self._one(self.world.stores())].crash_on_write = 0.02

    # origins

    def origin_down(self):
        self._kill([self._one(self.world.origins)])

    def origin_mode(self):
        seat = self.world.seats[self._one(self.world.origins)]
        if seat.node is not None:
            seat.node.mode = self.world.chance.choice(["lost", "short", "slow", "sound"])

    def origin_back(self):
        for name in self.world.origins:
            if self.world.seats[name].node is None:
                self.world.start(name)

    def drain(self):
        self.world.drain_origin(self._registry(), self._one(self.world.origins))

    def move_address(self):
        """An origin ends without a word, and its address comes up at once in another service.

        A polite one listens only once it is told that it is in force there.
        """
        name = self._one(self.world.origins)
        self.world.polite = {**self.world.polite, name: self.world.chance.random() < 0.5}
        self.world.homes[name] = "apps" if self.world.homes[name] == "art" else "art"
        self._kill([name])
        self.world.start(name)

    def service_down(self):
        service = self._one(["art", "apps"])
        self._kill([name for name in self.world.origins if self.world.homes[name] == service])

    # operators

    def configuration(self):
        self.world.configuration["settings"]["deadline_ms"] = 1500 + self.world.chance.randrange(
            1000
        )
        self.world.put_configuration(self._registry())

    def race(self):
        for registry in range(3):
            self.world.configuration["settings"]["deadline_ms"] = (
                1500 + self.world.chance.randrange(1000)
            )
            self.world.put_configuration(registry)

    def purge(self):
        self.world.purge(self._registry())

    def purges(self):
        for _ in range(20):
            self.world.purge(self._registry())

    def replace(self):
        self.world.traffic.replace()

    def empty(self):
        self.world.empty_zone(self._registry(), self._one("abcd"), True)

    def restore(self):
        for zone in list(self.world.traffic.emptied):
            self.world.empty_zone(self._registry(), zone, False)

    def mend(self):
        world = self.world
        world.heal()
        world.weather.drop = 0.002
        for name, seat in list(world.seats.items()):
            seat.crash_on_write = 0.0
            if seat.node is None and not seat.retired:
                world.start(name)
        for name in world.origins:
            world.seats[name].node.mode = "sound"
