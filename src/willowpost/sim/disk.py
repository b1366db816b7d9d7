"""A simulated disk: a folder of segments, and the ways in which it fails.

As the real one (`shell/disk.py`): records are appended to the newest segment and synced; a new
segment is written aside, renamed, and its folder synced, before the older one is removed. That
removal is not synced by itself.
"""

import random
from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND

SYNC_SPAN = 3 * MILLISECOND  # of a write on a sound disk, as far as a slow one multiplies it


@dataclass(slots=True)
class SimDisk:
    """A folder of segments in memory.

    `records` is what a restart finds. A crash may cut the batch being written short, but never
    removes older records.

    Attributes:
        segments: The folder's segments by number; the newest counts.
        unsynced_removals: Segments whose removal is not synced; a power loss may bring them back.
        folder_chance: Decides what becomes of unsynced folder entries; None: all are as last seen.
        slowness: How many times as long as usual a write takes; 1 is normal.
        stalled_until: No write ends before this time of the world, in µs.
    """

    segments: dict[int, list] = field(default_factory=lambda: {0: []})
    unsynced_removals: dict[int, list] = field(default_factory=dict)
    folder_chance: random.Random | None = None
    slowness: int = 1
    stalled_until: int = 0

    @property
    def records(self) -> list:
        """The records of the newest segment."""
        return self.segments[max(self.segments)]

    @records.setter
    def records(self, records: list) -> None:
        self.segments = {max(self.segments): records}

    def write(self, plan, upto: int | None = None) -> None:
        """Writes a plan's records, or only `upto` of them if the machine dies meanwhile."""
        if plan.rotate is not None:
            if upto is not None and not self._renamed():
                return  # the new segment was not renamed yet: the old one stands
            self._rotate(list(plan.rotate), torn=upto is not None)
        self.records.extend(plan.records if upto is None else plan.records[:upto])

    def span_of_write(self, time: int) -> int:
        """How long a write that begins now takes, in µs; 0 on a normal disk."""
        slow = self.slowness * SYNC_SPAN if self.slowness > 1 else 0
        return max(slow, self.stalled_until - time, 0)

    def lose_power(self) -> None:
        """Keeps or loses each unsynced folder entry independently."""
        back = {
            number: records
            for number, records in self.unsynced_removals.items()
            if self._by_chance()
        }
        self.unsynced_removals = {}
        self.segments = {**back, **self.segments}

    def mend(self) -> None:
        """Makes later writes fast again; one under way ends when it would have."""
        self.slowness, self.stalled_until = 1, 0

    def _renamed(self) -> bool:
        return self._by_chance()

    def _rotate(self, records, torn: bool) -> None:
        number = max(self.segments) + 1
        older = {} if torn else self.segments
        self.segments = {number: records, **({} if not torn else self.segments)}
        # the folder was synced after the rename: earlier removals are durable now
        self.unsynced_removals = dict(older)

    def _by_chance(self) -> bool:
        return self.folder_chance is not None and self.folder_chance.random() < 0.5
