"""Planned restarts, and the end of a run: faults end, and the fleet must recover."""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.sim.world import seconds

AGAIN_SECONDS = 2.0  # until the operator asks once more for what may have been lost
SERVICE_SECONDS = 3  # in which a second's requests must be served in the end
LOOK_EVERY = 20 * MILLISECOND  # at whether a process has left


class Settling:
    """Restarts processes and checks the recovery after the last fault; part of the world."""

    def restart(self, address):
        """A planned restart by the platform: the process is asked to leave, then restarted."""
        node = self.seats[address].node
        shutdown = getattr(getattr(node, "node", node), "shutdown", None)
        if shutdown is None:  # it is down
            self.crash(address)
            self.at(SECOND, self.bring_back, address)
            return
        self.give(address, ShutdownRequested())
        self.at(LOOK_EVERY, self._left, address, shutdown, self.seats[address].incarnation)

    def _left(self, address, shutdown, incarnation):
        if self.seats[address].incarnation != incarnation:
            return  # it was killed meanwhile
        if shutdown.is_stopped:
            self.crash(address)
            self.at(SECOND, self.bring_back, address)
        else:
            self.at(LOOK_EVERY, self._left, address, shutdown, incarnation)

    def bring_back(self, address):
        """Starts a machine's process, unless it runs or is gone for good."""
        seat = self.seats[address]
        if seat.node is None and not seat.retired:
            self.start(address)

    def settle(self, span=15.0):
        """Ends every fault and checks the recovery.

        Within `span` seconds every proxy must serve again, and what was accepted must still be
        there.

        Raises:
            Broken: A rule was broken.
        """
        self._close_faults()
        closed = self.time
        self._finish_evacuations()
        self.run(seconds(AGAIN_SECONDS))
        self._finish_evacuations()
        if not self.until(self._whole, seconds(span - AGAIN_SECONDS)):
            self.traffic.say(False, f"service not back {span} s after the fault closed")
        self.traffic.note_margin("back after the fault closed, ms", (self.time - closed) // 1000)
        self.run(seconds(5))
        self._judge_service()
        self.rules.finish(self, self.node_states())
        self._judge_read_back()
        self.readers.judge()

    def _close_faults(self):
        self.heal()
        self.weather.drop = 0.0
        self.operators.lost_part = 0.0
        self.impatience = 0
        self.rate = min(self.rate, self.usual_rate)
        for address, seat in list(self.seats.items()):
            seat.disk.mend()
            seat.step_span = 0
            seat.crash_on_write, seat.frozen_until = 0.0, min(seat.frozen_until, self.time)
            self.bring_back(address)

    def _finish_evacuations(self):
        """An operator whose earlier answer was lost asks again."""
        for zone in self.shape.zones:
            self.empty_zone(0, zone, False)

    def _whole(self):
        up = all(seat.node is not None for seat in self.seats.values() if not seat.retired)
        return up and len(self.sound_edges()) == len(self.edges)

    def _judge_service(self):
        since = self.time - seconds(SERVICE_SECONDS)
        served = sum(moment > since for moment, _ in self.traffic.served)
        self.traffic.say(
            served > self.rate, f"only {served} served in the last {SERVICE_SECONDS} s"
        )

    def _judge_read_back(self):
        versions = {
            self.seats[name].node.registry.tables.configuration.version for name in self.registries
        }
        self.traffic.say(
            min(versions) >= self.version, f"read back {versions}, accepted {self.version}"
        )
