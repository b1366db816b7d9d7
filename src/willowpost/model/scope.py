"""How large a model is: its machines, its commands, and how many faults of each kind may occur."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.model.logical_time import NEVER
from willowpost.state.operations import Operation

READS_OFF = NEVER
# Reads, announcements and new segments never become due by themselves.
QUIET_TUNING = ReplicaTuning(
    quorum_read_interval_us=READS_OFF,
    synced_index_interval_us=NEVER,
    max_segment_decisions=NEVER,
)


class Budget(NamedTuple):
    """How often each kind of action may still happen; a count each, for the whole system."""

    crashes: int = 0
    torn: int = 0  # crashes while a step's records are being written
    wipes: int = 0
    removals: int = 0
    duplicates: int = 0
    losses: int = 0  # explicit ones; a message never delivered is lost in any case
    blocked_links: int = 0
    heals: int = 0
    short_ticks: int = 0


NO_FAULTS = Budget()


class Role(Enum):
    """What a machine's store is when the model begins."""

    VOTER = "voter"  # a bootstrap member of the core
    LEARNER = "learner"  # has all that the voters have, and no vote
    EMPTY = "empty"  # has an identity and nothing else


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine that runs one store."""

    name: str
    zone: str
    role: Role = Role.VOTER


@dataclass(frozen=True, slots=True)
class SetupDelivery:
    """A step of a scope's setup: the newest message of this kind in flight on this link arrives."""

    source: str
    target: str
    kind: type[object]


@dataclass(frozen=True, slots=True)
class SetupTick:
    """A step of a scope's setup: all timers of this process are due; not one of its `ticks`."""

    process: str


def _no_ticks() -> dict[str, int]:
    return {}


@dataclass(frozen=True, slots=True)
class Scope:
    """A bounded model. Invariant: finitely many states are reachable in it.

    Every command of `commands` is an operation of the log, each submitted by a client of its own to
    the store of `first_store` (by index) first. `log_prefix` holds operations that all voters have
    decided and synced before the model begins. `ticks` says how many timed ticks each process may
    have; a process that is not named has none.

    `setup` leads from there to the state in which the model begins, and on `blocked_links`
    nothing passes from then on.

    With `messages_stay` a message that was sent can arrive at any later moment, any number of
    times, or never: delivering it leaves it in flight. That covers every delay, order, loss and
    duplicate, and states differ no more by what is left of the network. Without it, a delivery
    takes the message out, unless a duplicate is paid from the budget.
    """

    name: str
    machines: tuple[Machine, ...]
    commands: tuple[Operation, ...] = ()
    first_store: tuple[int, ...] = (0, 1, 2)
    log_prefix: tuple[Operation, ...] = ()
    reader: bool = False
    ticks: dict[str, int] = field(default_factory=_no_ticks)
    budget: Budget = NO_FAULTS
    tuning: ReplicaTuning = QUIET_TUNING
    max_voters: int = 0
    setup: tuple[SetupDelivery | SetupTick, ...] = ()
    blocked_links: frozenset[tuple[str, str]] = frozenset()
    may_crash: tuple[str, ...] = ()  # empty: every store may
    may_lose_disk: tuple[str, ...] = ()  # empty: every store may
    messages_stay: bool = True
