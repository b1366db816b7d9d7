"""What callers do to a fleet."""

from willowpost.sim.fleet.faults.base import FaultSteps

BURST_TIMES = 3
REPEATS_MOST = 200  # further requests of one stretch of retry abuse


class ClientFaults(FaultSteps):
    """Too many requests, and requests that are repeated against advice."""

    def burst(self):
        """Three times the usual traffic for some seconds."""
        if self.world.rate == self.world.usual_rate:
            self.world.rate = BURST_TIMES * self.world.usual_rate
            self.world.at(self._span(2, 5), self._calm)

    def _calm(self):
        self.world.rate = self.world.usual_rate

    def retry_abuse(self):
        """For some seconds rejected callers send the same again at once, several times."""
        self.world.impatience, self.world.repeats_left = 3, REPEATS_MOST
        self.world.at(self._span(2, 6), self._patient)

    def _patient(self):
        self.world.impatience = 0
