"""Scopes that are small enough to search completely, or to a depth."""

from dataclasses import replace

from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.model.logical_time import NEVER
from willowpost.model.operations import (
    EVACUATE_ZONE_A,
    EVACUATE_ZONE_B,
    configuration,
    join,
    replace_voter,
    suspect,
)
from willowpost.model.scope import Budget, Machine, Role, Scope, SetupDelivery, SetupTick
from willowpost.state.operations import Operation
from willowpost.wire.messages import (
    BallotState,
    CatchupRequest,
    CatchupResponse,
    QuorumReadRequest,
    SubmitCommand,
    SyncedIndex,
)

THREE = (Machine("s0", "a"), Machine("s1", "b"), Machine("s2", "c"))
FIVE = (*THREE, Machine("s3", "a"), Machine("s4", "b"))
WITH_LEARNER = (*THREE, Machine("s3", "c", Role.LEARNER))
READING = ReplicaTuning(synced_index_interval_us=NEVER, max_segment_decisions=NEVER)


# s2 is suspected but healthy: it runs on, and votes until it is replaced.
SUSPECTED_VOTER: tuple[Operation, ...] = (
    *(join(machine) for machine in WITH_LEARNER),
    suspect(WITH_LEARNER[2], WITH_LEARNER[0]),
    suspect(WITH_LEARNER[2], WITH_LEARNER[1]),
)

ONE_COMMAND = Scope("one-command", THREE, (EVACUATE_ZONE_A,), budget=Budget(torn=1))
TWO_COMMANDS = Scope(
    "two-commands", THREE, (EVACUATE_ZONE_A, EVACUATE_ZONE_B), budget=Budget(torn=1)
)
RESTARTED = Scope(
    "restarted",
    THREE,
    (EVACUATE_ZONE_A, EVACUATE_ZONE_B),
    budget=Budget(crashes=1),
    may_crash=("s0",),
)
# s0 and s1 propose one command, s2 the other, and s2 has received both.
SPLIT_PROPOSALS = Scope(
    "split-proposals",
    THREE,
    (EVACUATE_ZONE_A, EVACUATE_ZONE_B),
    first_store=(0, 2),
    setup=(
        SetupDelivery("client0", "s0", SubmitCommand),
        SetupDelivery("client1", "s2", SubmitCommand),
        SetupDelivery("s0", "s1", BallotState),
        SetupDelivery("s0", "s2", BallotState),
    ),
)
# One content is accepted under the number; the other is on its way.
RACE = Scope(
    "race",
    THREE,
    (configuration(2, "one.example"), configuration(2, "two.example")),
    setup=(
        SetupDelivery("client0", "s0", SubmitCommand),
        SetupDelivery("s0", "s1", BallotState),
        SetupDelivery("s1", "s0", BallotState),
        SetupDelivery("s0", "s1", BallotState),
        SetupDelivery("s1", "s0", BallotState),
        SetupDelivery("s1", "s0", SyncedIndex),
    ),
)
WIPED = Scope(
    "wiped",
    THREE,
    (EVACUATE_ZONE_A,),
    ticks={"s2": 2},
    budget=Budget(wipes=1),
    may_lose_disk=("s2",),
)
READS = Scope(
    "reads",
    THREE,
    (EVACUATE_ZONE_A,),
    ticks={"s2": 2},
    budget=Budget(crashes=1),
    tuning=READING,
    may_crash=("s2",),
)
READER_READS = Scope(
    "reader",
    THREE,
    (EVACUATE_ZONE_A,),
    reader=True,
    ticks={"reader": 2},
    budget=Budget(blocked_links=1),
)
REPLACED = Scope(
    "replaced",
    WITH_LEARNER,
    (replace_voter(WITH_LEARNER[2], WITH_LEARNER[3]),),
    log_prefix=SUSPECTED_VOTER,
    budget=Budget(removals=1),
)
# s0 and s2 accepted a command that s1 has not received, and s2 decided its own replacement.
REPLACED_LATE = Scope(
    "replaced-late",
    WITH_LEARNER,
    (EVACUATE_ZONE_A, replace_voter(WITH_LEARNER[2], WITH_LEARNER[3])),
    first_store=(0, 0),
    log_prefix=SUSPECTED_VOTER,
    ticks={"s3": 1},
    budget=Budget(removals=1),
    setup=(
        SetupDelivery("client0", "s0", SubmitCommand),
        SetupDelivery("s0", "s2", BallotState),
        SetupDelivery("s2", "s0", BallotState),
        SetupDelivery("s0", "s2", BallotState),
        SetupDelivery("s2", "s0", BallotState),
        SetupDelivery("s2", "s0", SyncedIndex),
        SetupDelivery("client1", "s0", SubmitCommand),
        SetupDelivery("s0", "s2", BallotState),
        SetupDelivery("s2", "s0", BallotState),
        SetupDelivery("s0", "s2", BallotState),
    ),
)
# The replacement is decided by s1 alone, with the votes of s0; s3 caught up from s1.
_DECIDED_BY_ONE = (
    SetupDelivery("client0", "s0", SubmitCommand),
    SetupDelivery("s0", "s1", BallotState),
    SetupDelivery("s1", "s0", BallotState),
    SetupDelivery("s0", "s1", BallotState),
    SetupDelivery("s1", "s3", SyncedIndex),
    SetupTick("s3"),
    SetupTick("s3"),
    SetupDelivery("s3", "s1", CatchupRequest),
    SetupDelivery("s1", "s3", CatchupResponse),
)
# Then s0 decides it too, and s1 and s3 accept the other command in the new epoch.
_ACCEPTED_BEHIND_IT = (
    *_DECIDED_BY_ONE,
    SetupDelivery("s1", "s0", BallotState),
    SetupDelivery("s0", "s1", SyncedIndex),
    SetupDelivery("s0", "s3", SyncedIndex),
    SetupDelivery("client1", "s1", SubmitCommand),
    SetupDelivery("s1", "s3", BallotState),
    SetupDelivery("s3", "s1", BallotState),
    SetupDelivery("s1", "s3", BallotState),
    SetupDelivery("s3", "s1", BallotState),
    SetupDelivery("s3", "s1", SyncedIndex),
)


def _blocked(one: tuple[str, ...], other: tuple[str, ...]) -> frozenset[tuple[str, str]]:
    return frozenset(
        pair for a in one for b in other for pair in ((a, b), (b, a)) if pair[0] != pair[1]
    )


ISOLATED_DECISION = Scope(
    "unheard",
    WITH_LEARNER,
    (replace_voter(WITH_LEARNER[2], WITH_LEARNER[3]), EVACUATE_ZONE_A),
    first_store=(0, 1),
    log_prefix=SUSPECTED_VOTER,
    reader=True,
    ticks={"reader": 1},
    setup=_DECIDED_BY_ONE,
    blocked_links=_blocked(("s0",), ("s2",)) | _blocked(("s0", "s2", "reader"), ("s1", "s3")),
)
READ_OVER_CHANGE = replace(
    ISOLATED_DECISION,
    name="read-over-change",
    setup=_ACCEPTED_BEHIND_IT,
    blocked_links=_blocked(("s0", "s2", "reader"), ("s1", "s3")),
)
STORE_READ_OVER_CHANGE = replace(
    READ_OVER_CHANGE,
    name="store-read-over-change",
    reader=False,
    ticks={"s2": 2},
    tuning=READING,
)
# s2 sent a quorum read and s0 has answered; the answer may reach a later incarnation of s2.
PREVIOUS_INCARNATION = Scope(
    "former-life",
    THREE,
    (EVACUATE_ZONE_A,),
    ticks={"s2": 1},
    budget=Budget(crashes=1),
    tuning=READING,
    setup=(SetupTick("s2"), SetupDelivery("s2", "s0", QuorumReadRequest)),
    blocked_links=_blocked(("s1", "client0"), ("s2",)) | frozenset({("s2", "s0")}),
    may_crash=("s2",),
)
