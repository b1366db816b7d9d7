"""Faults of origins, and what the platform does with them."""

from willowpost.common.clock import SECOND
from willowpost.sim.fleet.faults.base import FaultSteps

NEW_ORIGINS = 2  # in one run, at most


class OriginFaults(FaultSteps):
    """Origins end, drain, answer badly, and their addresses are given away."""

    def origin_down(self):
        """An origin dies."""
        self._kill([self._one(self.world.origins)])

    def origin_mode(self):
        """An origin loses, breaks off or delays its answers, or is sound again."""
        seat = self.world.seats[self._one(self.world.origins)]
        if seat.node is not None:
            seat.node.mode = self.world.chance.choice(["lost", "short", "slow", "sound"])

    def origin_back(self):
        """All origins that are down start."""
        for name in self.world.origins:
            if self.world.seats[name].node is None:
                self.world.start(name)

    def drain(self):
        """An origin says that it leaves."""
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
        """All origins of a service die."""
        service = self._one(["art", "apps"])
        self._kill([name for name in self.world.origins if self.world.homes[name] == service])

    def spot_removal(self):
        """An origin is gone two seconds after the notice; another one comes four seconds later."""
        name = self._one(self.world.origins)
        self.world.drain_origin(self._registry(), name)
        self._later(2 * SECOND, self._kill, [name])
        self.world.at(6 * SECOND, self.world.bring_back, name)

    def zone_of_origins_cold(self):
        """All origins of a zone end at once, without a word, and come back together, cold."""
        zone = self._one("abcd")
        names = [name for name in self.world.zone_seats(zone) if name in self.world.origins]
        for name in self._up(names):
            self.world.lose_power(name)
            self.world.at(2 * SECOND, self.world.bring_back, name)

    def silent_reuse(self):
        """Origins fall silent; later their addresses belong to the other service, unannounced."""
        for name in self._some(self.world.origins, 2):
            if self.world.seats[name].node is not None:
                self.world.lose_power(name)
                self.world.at(self._span(1, 3), self._reuse, name)

    def _reuse(self, name):
        if self.world.seats[name].node is None:
            self.world.polite = {**self.world.polite, name: False}
            self.world.homes[name] = "apps" if self.world.homes[name] == "art" else "art"
            self.world.start(name)

    def release(self):
        """An origin drains, ends, and comes back as a new incarnation."""
        name = self._one(self.world.origins)
        self.world.drain_origin(self._registry(), name)
        self._later(4 * SECOND, self._kill, [name])
        self.world.at(self._span(4.1, 5), self.world.bring_back, name)

    def scale_out(self):
        """A service gets one more origin, cold, in any zone."""
        added = len(self.world.origins) - sum(map(len, self.world.shape.origins.values()))
        if added < NEW_ORIGINS:
            service = self._one(sorted(self.world.shape.origins))
            zone, rate = self._one(self.world.shape.origins[service])
            self.world.add_origin(f"{service}{len(self.world.origins)}", service, zone, rate)

    def answers_twice(self):
        """An origin sends a second copy of each answer."""
        seat = self.world.seats[self._one(self.world.origins)]
        if seat.node is not None:
            seat.node.mode = "twice"
