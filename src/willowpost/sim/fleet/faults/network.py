"""Faults of the network: partitions of all shapes, losses, resets; and changes of the seeds."""

from willowpost.common.events import SettingsChanged
from willowpost.sim.fleet.faults.base import FaultSteps


class NetworkFaults(FaultSteps):
    """Network faults; a new partition replaces the last one."""

    def cut_zone(self):
        """A zone is cut off from all others."""
        inside = set(self.world.zone_seats(self._one("abcd")))
        self.world.heal()
        self.world.cut(sorted(inside), sorted(set(self.world.seats) - inside))

    def split_core(self):
        """Two stores are cut off from all others."""
        side = set(self.world.chance.sample(self.world.stores(), 2))
        self.world.heal()
        self.world.cut(sorted(side), sorted(set(self.world.seats) - side))

    def isolate(self):
        """A core machine or an edge is cut off."""
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
        """Every link loses some messages."""
        self.world.weather.drop = 0.08

    def core_one_way(self):
        """A core machine's messages to the core are lost, or the core's messages to it."""
        alone, core = self._machine(), self._core()
        others = [name for name in core if name not in alone]
        self.world.heal()
        pairs = {(name, other) for name in alone for other in others}
        if self.world.chance.random() < 0.5:
            pairs = {(other, name) for name, other in pairs}
        self.world.cuts |= pairs

    def cut_with_seeds(self):
        """One or two core machines are cut off, and the new seeds begin with them.

        Some other machines are restarted with only such seeds to go by.
        """
        alone = [name for number in self._two_numbers() for name in self._core_machine(number)]
        self.world.heal()
        self.world.cut(alone, self._others(alone))
        listed = [name for name in alone if name in self.world.registries]
        others = [name for name in self.world.registries if name not in listed]
        self.world.seed_names = [*listed, *others][:3]
        self.reload_settings()
        for name in self._some([*self.world.edges, *others], 2):
            self._kill([name])
            self.world.at(self._span(0.1, 1), self.world.bring_back, name)

    def cut_and_restart(self):
        """Core machines are cut off and restarted inside the cut; then the other core machines."""
        alone = [name for number in self._two_numbers() for name in self._core_machine(number)]
        self.world.heal()
        self.world.cut(alone, self._others(alone))
        self._kill(alone)
        for name in alone:
            self.world.at(self._span(0.1, 0.5), self.world.bring_back, name)
        others = [name for name in self._core() if name not in alone]
        self._later(self._span(1, 2), self._restart_all, others)

    def _restart_all(self, names):
        for name in self._up(names):
            self.world.crash(name)
            self.world.at(self._span(0.05, 0.5), self.world.bring_back, name)

    def _two_numbers(self):
        return self.world.chance.sample(range(5), self.world.chance.randrange(1, 3))

    def cut_from_core(self):
        """Some proxies reach no core machine, while callers and origins reach them."""
        self.world.heal()
        self.world.cut(self._some(self.world.edges, 2), self._core())

    def origins_cut_off(self):
        """Some origins are cut off from every machine."""
        alone = self._some(self.world.origins, max(1, len(self.world.origins) // 2))
        self.world.heal()
        self.world.cut(alone, self._others(alone))

    def reset_connections(self):
        """Some proxies have all their connections to origins and shields reset."""
        for name in self._up(self._some([*self.world.edges, *self.world.shields], 3)):
            self.world.seats[name].node.request_io.reset()

    def reload_settings(self):
        """The settings of some machines name the seeds anew, and they are told while they run."""
        seeds = tuple(self.world.seed_names or self.world.registries[:3])
        for name in self._up([*self._core(), *self.world.edges]):
            if self.world.chance.random() < 0.5:
                self.world.give(name, SettingsChanged(seeds))
