"""One state of the modelled system, small and hashable: components are given by number."""

import marshal
from typing import NamedTuple

from willowpost.common.digest import blake2b
from willowpost.model.scope import Budget

DOWN = -1  # the process is not running
GONE = -2  # the machine was removed for good
_PLAIN_FORMAT = 2  # of marshal: equal values have equal bytes, later ones share references


class SystemState(NamedTuple):
    """A state; equal states have the same future.

    Processes, disks, messages and the history are given by their numbers in StateComponents.

    Attributes:
        processes: For each process its image, DOWN or GONE.
        disks: Of the stores, in the order of the scope's machines.
        network: The messages in flight, sorted, each once.
        blocked_links: (source, target) pairs between which nothing arrives.
        ticks: Timed ticks left for each process.
        incarnation_counts: For each store, how many incarnations it has had.
        disks_lost: For each store, how many disks it has lost.
        budget: The faults that may still occur.
        history: What was sent and promised so far.
    """

    processes: tuple[int, ...]
    disks: tuple[int, ...]
    network: tuple[int, ...]
    blocked_links: frozenset[tuple[str, str]]
    ticks: tuple[int, ...]
    incarnation_counts: tuple[int, ...]
    disks_lost: tuple[int, ...]
    budget: Budget
    history: int

    def digest(self) -> bytes:
        """16 bytes; two different states share them with a probability of 2^-128."""
        components = (
            self.processes,
            self.disks,
            self.network,
            tuple(sorted(self.blocked_links)),
            self.ticks,
            self.incarnation_counts,
            self.disks_lost,
            tuple(self.budget),
            self.history,
        )
        return blake2b(marshal.dumps(components, _PLAIN_FORMAT), digest_size=16).digest()
