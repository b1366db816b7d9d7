"""The states of daemons and origins in the log, and the transitions between them."""

from enum import Enum

# why the log turns away an operation that was based on what has been replaced since
SUPERSEDED = "superseded"


class DaemonState(str, Enum):
    """The state of a daemon in `Tables.daemons`; LOST is the failure verdict of its watchers."""

    UP = "up"
    DRAINING = "draining"
    LOST = "lost"


class OriginState(str, Enum):
    """The state of an origin in `Tables.origins`; the transitions are in `NEXT_ORIGIN`."""

    WAITING = "waiting"  # its address served another service; not in force yet
    COLD = "cold"  # in force; its allowance ramps, or its beats say how long
    WARM = "warm"
    DRAINING = "draining"  # no new requests
    GONE = "gone"  # leaves the table


NEXT_ORIGIN = {
    OriginState.WAITING: {OriginState.COLD, OriginState.GONE, OriginState.DRAINING},
    OriginState.COLD: {OriginState.WARM, OriginState.DRAINING, OriginState.GONE},
    # Warm ones turn cold again: their own beats say so, or their zone was emptied and is given
    # back.
    OriginState.WARM: {OriginState.COLD, OriginState.DRAINING, OriginState.GONE},
    OriginState.DRAINING: {OriginState.GONE},
    OriginState.GONE: set(),
}
IN_FORCE = (OriginState.COLD, OriginState.WARM)
