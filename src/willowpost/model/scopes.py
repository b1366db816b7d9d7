"""The scopes that ship with willowpost, by name."""

from dataclasses import replace

from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.model.logical_time import NEVER
from willowpost.model.operations import (
    EVACUATE_ZONE_A,
    EVACUATE_ZONE_B,
    configuration,
    joined,
    offer,
    replacement,
    suspected,
)
from willowpost.model.scope import Budget, Machine, Passes, Role, Scope, Ticks
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


# s2 counts as lost, and is not: it runs on, and votes until it is replaced.
_SUSPECTED_VOTER: tuple[Operation, ...] = (
    *(joined(machine) for machine in WITH_LEARNER),
    suspected(WITH_LEARNER[2], WITH_LEARNER[0]),
    suspected(WITH_LEARNER[2], WITH_LEARNER[1]),
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
# s0 and s1 propose one command, s2 the other, and s2 has heard of both.
SPLIT_PROPOSALS = Scope(
    "split-proposals",
    THREE,
    (EVACUATE_ZONE_A, EVACUATE_ZONE_B),
    first_store=(0, 2),
    opening=(
        Passes("client0", "s0", SubmitCommand),
        Passes("client1", "s2", SubmitCommand),
        Passes("s0", "s1", BallotState),
        Passes("s0", "s2", BallotState),
    ),
)
# One content is accepted under the number; the other is on its way.
RACE = Scope(
    "race",
    THREE,
    (configuration(2, "one.example"), configuration(2, "two.example")),
    opening=(
        Passes("client0", "s0", SubmitCommand),
        Passes("s0", "s1", BallotState),
        Passes("s1", "s0", BallotState),
        Passes("s0", "s1", BallotState),
        Passes("s1", "s0", BallotState),
        Passes("s1", "s0", SyncedIndex),
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
    pace=READING,
    may_crash=("s2",),
)
READER_ASKS = Scope(
    "reader", THREE, (EVACUATE_ZONE_A,), reader=True, ticks={"reader": 2}, budget=Budget(cuts=1)
)
REPLACED = Scope(
    "replaced",
    WITH_LEARNER,
    (replacement(WITH_LEARNER[2], WITH_LEARNER[3]),),
    log_prefix=_SUSPECTED_VOTER,
    budget=Budget(removals=1),
)
# s0 and s2 accepted a command that s1 has not heard of, and s2 decided its own replacement.
REPLACED_LATE = Scope(
    "replaced-late",
    WITH_LEARNER,
    (EVACUATE_ZONE_A, replacement(WITH_LEARNER[2], WITH_LEARNER[3])),
    first_store=(0, 0),
    log_prefix=_SUSPECTED_VOTER,
    ticks={"s3": 1},
    budget=Budget(removals=1),
    opening=(
        Passes("client0", "s0", SubmitCommand),
        Passes("s0", "s2", BallotState),
        Passes("s2", "s0", BallotState),
        Passes("s0", "s2", BallotState),
        Passes("s2", "s0", BallotState),
        Passes("s2", "s0", SyncedIndex),
        Passes("client1", "s0", SubmitCommand),
        Passes("s0", "s2", BallotState),
        Passes("s2", "s0", BallotState),
        Passes("s0", "s2", BallotState),
    ),
)
# The replacement is decided by s1 alone, with the votes of s0; s3 heard of it from s1.
_DECIDED_BY_ONE = (
    Passes("client0", "s0", SubmitCommand),
    Passes("s0", "s1", BallotState),
    Passes("s1", "s0", BallotState),
    Passes("s0", "s1", BallotState),
    Passes("s1", "s3", SyncedIndex),
    Ticks("s3"),
    Ticks("s3"),
    Passes("s3", "s1", CatchupRequest),
    Passes("s1", "s3", CatchupResponse),
)
# Then s0 decides it too, and s1 and s3 accept the other command in the new epoch.
_ACCEPTED_BEHIND_IT = (
    *_DECIDED_BY_ONE,
    Passes("s1", "s0", BallotState),
    Passes("s0", "s1", SyncedIndex),
    Passes("s0", "s3", SyncedIndex),
    Passes("client1", "s1", SubmitCommand),
    Passes("s1", "s3", BallotState),
    Passes("s3", "s1", BallotState),
    Passes("s1", "s3", BallotState),
    Passes("s3", "s1", BallotState),
    Passes("s3", "s1", SyncedIndex),
)


def _cut(one: tuple[str, ...], other: tuple[str, ...]) -> frozenset[tuple[str, str]]:
    return frozenset(
        pair for a in one for b in other for pair in ((a, b), (b, a)) if pair[0] != pair[1]
    )


UNHEARD = Scope(
    "unheard",
    WITH_LEARNER,
    (replacement(WITH_LEARNER[2], WITH_LEARNER[3]), EVACUATE_ZONE_A),
    first_store=(0, 1),
    log_prefix=_SUSPECTED_VOTER,
    reader=True,
    ticks={"reader": 1},
    opening=_DECIDED_BY_ONE,
    cuts=_cut(("s0",), ("s2",)) | _cut(("s0", "s2", "reader"), ("s1", "s3")),
)
READ_OVER_CHANGE = replace(
    UNHEARD,
    name="read-over-change",
    opening=_ACCEPTED_BEHIND_IT,
    cuts=_cut(("s0", "s2", "reader"), ("s1", "s3")),
)
STORE_READ_OVER_CHANGE = replace(
    READ_OVER_CHANGE,
    name="store-read-over-change",
    reader=False,
    ticks={"s2": 2},
    pace=READING,
)
# s2 asked how far the others are, and s0 has answered; the answer may reach a later life of s2.
FORMER_LIFE = Scope(
    "former-life",
    THREE,
    (EVACUATE_ZONE_A,),
    ticks={"s2": 1},
    budget=Budget(crashes=1),
    pace=READING,
    opening=(Ticks("s2"), Passes("s2", "s0", QuorumReadRequest)),
    cuts=_cut(("s1", "client0"), ("s2",)) | frozenset({("s2", "s0")}),
    may_crash=("s2",),
)
FAULTS = Budget(crashes=2, torn=2, wipes=1, duplicates=3, losses=5, cuts=3, heals=2, short_ticks=3)
EACH_TICKS = {name: 3 for name in ("s0", "s1", "s2", "s3", "s4", "client0", "client1", "reader")}
# For walks: too many states to search.
FIVE_VOTERS = Scope(
    "five-voters",
    FIVE,
    (EVACUATE_ZONE_A, EVACUATE_ZONE_B),
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS._replace(wipes=2),
    pace=READING,
)
THREE_VOTERS = replace(FIVE_VOTERS, name="three-voters", machines=THREE, budget=FAULTS)
_TWO_LEARNERS = (Machine("s3", "a", Role.LEARNER), Machine("s4", "b", Role.LEARNER))
GROWTH = Scope(
    "growth",
    (*THREE, *_TWO_LEARNERS),
    (EVACUATE_ZONE_A, offer(_TWO_LEARNERS[0]), offer(_TWO_LEARNERS[1])),
    first_store=(0, 0, 1),
    log_prefix=tuple(joined(machine) for machine in (*THREE, *_TWO_LEARNERS)),
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS,
    pace=READING,
    max_voters=5,
)
REPLACEMENT = Scope(
    "replacement",
    WITH_LEARNER,
    (EVACUATE_ZONE_A, replacement(WITH_LEARNER[2], WITH_LEARNER[3]), EVACUATE_ZONE_B),
    first_store=(0, 1, 1),
    log_prefix=_SUSPECTED_VOTER,
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS._replace(removals=1),
    pace=READING,
)
SCOPES = {
    scope.name: scope
    for scope in (
        ONE_COMMAND,
        TWO_COMMANDS,
        RESTARTED,
        SPLIT_PROPOSALS,
        RACE,
        WIPED,
        READS,
        READER_ASKS,
        REPLACED,
        REPLACED_LATE,
        UNHEARD,
        READ_OVER_CHANGE,
        STORE_READ_OVER_CHANGE,
        FORMER_LIFE,
        THREE_VOTERS,
        FIVE_VOTERS,
        GROWTH,
        REPLACEMENT,
    )
}
