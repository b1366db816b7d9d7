"""One state of the whole modelled system, small and hashable: parts are named by numbers."""

import marshal
from typing import NamedTuple

from willowpost.common.digest import blake2b
from willowpost.model.scope import Budget

DOWN = -1  # the process is not running
GONE = -2  # the machine was removed for good
_PLAIN_FORMAT = 2  # of marshal: equal values have equal bytes, later ones share references


class SystemState(NamedTuple):
    """Invariant: equal states have the same future.

    Processes, disks, messages and the history stand here by the number under which the system keeps
    them; `network` is sorted and holds each message in flight once.
    """

    processes: tuple[int, ...]
    disks: tuple[int, ...]  # of the stores, in the order of the scope's machines
    network: tuple[int, ...]
    cuts: frozenset[tuple[str, str]]
    ticks: tuple[int, ...]  # timed ticks left for each process
    lives: tuple[int, ...]
    disks_lost: tuple[int, ...]
    budget: Budget
    history: int

    def digest(self) -> bytes:
        """16 bytes that two different states share with a chance of 2^-128 a pair."""
        parts = (
            self.processes,
            self.disks,
            self.network,
            tuple(sorted(self.cuts)),
            self.ticks,
            self.lives,
            self.disks_lost,
            tuple(self.budget),
            self.history,
        )
        return blake2b(marshal.dumps(parts, _PLAIN_FORMAT), digest_size=16).digest()
