"""What all kinds of faults share: choosing machines, ending and bringing back their processes."""

from willowpost.common.clock import SECOND


class FaultSteps:
    """Steps over `self.world`, a FleetWorld. Each draws what it hits from the world's chance."""

    closed = False  # whether the schedule's faults are over

    def _later(self, delay: int, fault, *args) -> None:
        """A fault that comes later, in µs, unless the schedule's faults are over by then."""
        self.world.at(delay, self._unless_closed, fault, args)

    def _unless_closed(self, fault, args):
        if not self.closed:
            fault(*args)

    def _one(self, names):
        return self.world.chance.choice(list(names))

    def _some(self, names, most):
        names = list(names)
        return self.world.chance.sample(names, self.world.chance.randrange(1, most + 1))

    def _span(self, least: float, most: float) -> int:
        """A time between the two, both in seconds, as µs."""
        return self.world.chance.randrange(int(least * SECOND), int(most * SECOND))

    def _up(self, names):
        return [name for name in names if self.world.seats[name].node is not None]

    def _kill(self, names):
        for name in self._up(names):
            self.world.crash(name)

    def _lose_power(self, names, back_after: float = 1.0):
        """The machines go dark at once, and each comes back at its own moment."""
        for name in self._up(names):
            self.world.lose_power(name)
            self.world.at(self._span(0.3, 0.3 + back_after), self.world.bring_back, name)

    def _registry(self):
        return self.world.chance.randrange(5)

    def _machine(self):
        return self._core_machine(self.world.chance.randrange(5))

    def _core_machine(self, number):
        """The processes of one core machine; its store may have been replaced for good."""
        names = (f"s{number}", f"r{number}", f"h{number}")
        return [
            name
            for name in names
            if name in self.world.seats and not self.world.seats[name].retired
        ]

    def _core(self):
        return [*self.world.stores(), *self.world.registries, *self.world.shields]

    def _others(self, names):
        return [name for name in self.world.seats if name not in names]
