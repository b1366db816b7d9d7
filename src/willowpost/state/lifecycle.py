"""The states of daemons and origins in the log, and the transitions between them."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType


class DaemonState(StrEnum):
    """The state of a daemon in `Tables.daemons`; LOST is the failure verdict of its watchers."""

    UP = "up"
    DRAINING = "draining"
    LOST = "lost"


class OriginState(StrEnum):
    """The state of an origin in `Tables.origins`; `ORIGIN_TRANSITIONS` has the transitions.

    The values are stored, so they keep the words of earlier builds.
    """

    WAITING = "waiting"  # its address served another service; not in force yet
    WARMING_UP = "cold"  # in force, in slow start; or its heartbeats say for how long it warms up
    WARM = "warm"
    DRAINING = "draining"  # no new requests
    GONE = "gone"  # leaves the table


ORIGIN_TRANSITIONS: Mapping[OriginState, frozenset[OriginState]] = MappingProxyType(
    {
        OriginState.WAITING: frozenset(
            {OriginState.WARMING_UP, OriginState.GONE, OriginState.DRAINING}
        ),
        OriginState.WARMING_UP: frozenset(
            {OriginState.WARM, OriginState.DRAINING, OriginState.GONE}
        ),
        # A warm origin warms up again when its heartbeats say so, or when its evacuated zone is
        # restored.
        OriginState.WARM: frozenset(
            {OriginState.WARMING_UP, OriginState.DRAINING, OriginState.GONE}
        ),
        OriginState.DRAINING: frozenset({OriginState.GONE}),
        OriginState.GONE: frozenset(),
    }
)
STATES_IN_FORCE = frozenset({OriginState.WARMING_UP, OriginState.WARM})  # take new requests
