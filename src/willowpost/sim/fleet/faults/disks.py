"""Faults of the stores' disks."""

from willowpost.sim.fleet.faults.base import FaultSteps

SLOW_TIMES = 30


class DiskFaults(FaultSteps):
    """Torn, slow, stalled and full disks, and folder entries that were not synced."""

    def tear(self):
        """A store dies in some of its writes from now on."""
        self.world.seats[self._one(self.world.stores())].crash_on_write = 0.02

    def disk_slow(self):
        """A store's writes take thirty times as long."""
        disk = self.world.seats[self._one(self.world.stores())].disk
        disk.slowness = SLOW_TIMES
        self.world.at(self._span(1, 5), disk.mend)

    def disk_stalled(self):
        """A store's disk answers nothing for a while.

        A full disk is the same to a store: it waits with its write until there is room.
        """
        disk = self.world.seats[self._one(self.world.stores())].disk
        disk.stalled_until = self.world.time + self._span(0.5, 4)

    def disk_full_and_killed(self):
        """A store's disk takes no more bytes; the store is killed while it waits with a write."""
        name = self._one(self.world.stores())
        self.world.seats[name].disk.stalled_until = self.world.time + self._span(1, 4)
        self._later(self._span(0.2, 1), self._kill, [name])
        self.world.at(self._span(1, 3), self.world.bring_back, name)

    def folder_entries_lost(self):
        """Some stores lose power; what was renamed or removed without a sync may come or go."""
        self._lose_power(self._some(self.world.stores(), 2))
