"""Kinds of faults that a deployment at its peak load must bear, one at a time."""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import SettingsChanged
from willowpost.sim.fleet.faults.disks import SLOW_TIMES
from willowpost.sim.world import seconds


class BoundedFaultKinds:
    """Each kind causes its fault and returns whether dropped requests are excused.

    They are excused where the proxies that held them died. `self.world` is a FleetWorld and
    `self.shape` its shape.
    """

    def _die(self, names, dark=False):
        for name in names:
            self.world.crash(name)
            self.world.seats[name].dark = dark
        return True

    def _machine(self):
        return self._core_machine(self.world.chance.randrange(5))

    def _core_machine(self, number):
        return [
            name for name in (f"s{number}", f"r{number}", f"h{number}") if name in self.world.seats
        ]

    def _zone(self):
        return self.world.chance.choice(self.shape.zones)

    def _cut(self, names):
        self.world.cut(names, [name for name in self.world.seats if name not in names])
        return True

    # what the fleet must bear

    def core_machine_dies(self):
        """All processes of a core machine are killed."""
        return self._die(self._machine())

    def core_machine_dark(self):
        """A core machine loses power: connections to it are not refused."""
        return self._die(self._machine(), dark=True)

    def core_machine_cut(self):
        """A core machine is cut off from all others."""
        return self._cut(self._machine())

    def zone_dies(self):
        """All processes of a zone are killed."""
        return self._die(self.world.zone_seats(self._zone()))

    def zone_dark(self):
        """All machines of a zone lose power."""
        return self._die(self.world.zone_seats(self._zone()), dark=True)

    def zone_cut(self):
        """A zone is cut off from all others."""
        return self._cut(self.world.zone_seats(self._zone()))

    def daemon_dies(self):
        """One store, registry, edge or shield is killed."""
        return self._die(
            [
                self.world.chance.choice(
                    self.world.names + self.world.registries + self.world.edges + self.world.shields
                )
            ]
        )

    def disk_lost(self):
        """A store loses its disk and restarts at once with an empty one."""
        name = self.world.chance.choice(self.world.names)
        self.world.crash(name, lose_disk=True)
        self.world.start(name)
        return False

    def zone_emptied(self):
        """An operator evacuates a zone and ends the evacuation after 8 s."""
        zone = self._zone()
        self.world.empty_zone(0, zone, True)
        self.world.run(seconds(8))
        self.world.empty_zone(1, zone, False)
        return False

    def restart_in_turn(self):
        """The platform restarts a core machine's processes and an edge one by one."""
        for name in (*self._machine(), self.world.chance.choice(self.world.edges)):
            self.world.restart(name)
            self.world.run(seconds(8))
        return False

    def owner_dies(self):
        """A proxy that owns a service's quota is killed."""
        tables = self.world.seats["r0"].node.registry.tables
        return self._die(
            [
                self.world.chance.choice(
                    sorted({ownership.owner for ownership in tables.ownerships.values()})
                ).split("/")[0]
            ]
        )

    def home_dies(self):
        """The first source of replicated state of an edge is killed."""
        edge = self.world.seats[self.world.chance.choice(self.world.edges)]
        source = edge.node.node.controllers[0].sources()[0]
        return self._die([source])

    def release(self):
        """An origin is replaced: it is drained, ends, and starts again cold."""
        name = self.world.chance.choice(self.world.origins)
        self.world.drain_origin(0, name)
        self.world.run(seconds(3))
        self.world.crash(name)
        self.world.run(100 * MILLISECOND)
        self.world.start(name)
        return False

    def core_machine_frozen(self):
        """The core machine that acknowledged last stands still for three seconds."""
        for name in self._core_machine(self.world.operators.last_acknowledged_by):
            self.world.freeze(name, 3 * SECOND)
        return False

    def core_machine_one_way(self):
        """A core machine receives messages from the others, but none of its own arrive."""
        alone = self._machine()
        self.world.cuts |= {
            (name, other) for name in alone for other in self.world.seats if other not in alone
        }
        return True

    def core_machine_loses_power_after_change(self):
        """A machine goes dark 5 to 400 ms after a change was sent to it."""
        number = self.world.chance.randrange(5)
        self._change_and_put(number)
        self.world.run(self.world.chance.randrange(5 * MILLISECOND, 400 * MILLISECOND))
        for name in self._core_machine(number):
            self.world.lose_power(name)
        return True

    def disk_slow(self):
        """One store's writes take thirty times as long."""
        disk = self.world.seats[self.world.chance.choice(self.world.names)].disk
        disk.slowness = SLOW_TIMES
        self.world.at(5 * SECOND, disk.mend)
        return False

    def disk_stalled(self):
        """One store's disk answers nothing for three seconds, or is full for as long."""
        disk = self.world.seats[self.world.chance.choice(self.world.names)].disk
        disk.stalled_until = self.world.time + 3 * SECOND
        return False

    def settings_reloaded(self):
        """Every process is told other seeds while it runs."""
        self.world.seed_names = self.world.chance.sample(self.world.registries, 3)
        for name in (*self.world.names, *self.world.registries, *self.world.edges):
            self.world.give(name, SettingsChanged(tuple(self.world.seed_names)))
        return False

    def spot_removal(self):
        """An origin is gone two seconds after the notice; another comes four seconds later."""
        name = self.world.chance.choice(self.world.origins)
        self.world.drain_origin(0, name)
        self.world.run(2 * SECOND)
        self.world.crash(name)
        self.world.at(4 * SECOND, self.world.bring_back, name)
        return False

    def address_reused(self):
        """An origin falls silent; seconds later its address belongs to another service."""
        name = self.world.chance.choice(self.world.origins)
        others = sorted(set(self.world.rates) - {self.world.homes[name]})
        self.world.lose_power(name)
        self.world.run(3 * SECOND)
        self.world.polite = {**self.world.polite, name: False}
        self.world.homes[name] = self.world.chance.choice(others)
        self.world.start(name)
        return False

    def acknowledgements_lost(self):
        """Most acknowledgements to operators are lost; they send the same again."""
        self.world.operators.lost_part = 0.7
        for number in range(5):
            self._change_and_put(number)
            self.world.run(SECOND)
        self.world.operators.lost_part = 0.0
        return False

    def orders_race(self):
        """Two operators replace the same version at once."""
        version = self.world.version
        for number in self.world.chance.sample(range(5), 2):
            self._change_and_put(number, if_match=version)
        return False

    def _change_and_put(self, number, if_match=None):
        settings = self.world.configuration["settings"]
        settings["deadline_ms"] = 2000 + self.world.chance.randrange(1000)
        self.world.put_configuration(number, if_match=if_match)
