"""Scopes with too many states to search, for random walks."""

from dataclasses import replace

from willowpost.model.operations import (
    EVACUATE_ZONE_A,
    EVACUATE_ZONE_B,
    join,
    offer_voter,
    replace_voter,
)
from willowpost.model.scope import Budget, Machine, Role, Scope
from willowpost.model.searched_scopes import FIVE, READING, SUSPECTED_VOTER, THREE, WITH_LEARNER

FAULTS = Budget(
    crashes=2, torn=2, wipes=1, duplicates=3, losses=5, blocked_links=3, heals=2, short_ticks=3
)
EACH_TICKS = {name: 3 for name in ("s0", "s1", "s2", "s3", "s4", "client0", "client1", "reader")}
FIVE_VOTERS = Scope(
    "five-voters",
    FIVE,
    (EVACUATE_ZONE_A, EVACUATE_ZONE_B),
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS._replace(wipes=2),
    tuning=READING,
)
THREE_VOTERS = replace(FIVE_VOTERS, name="three-voters", machines=THREE, budget=FAULTS)
_TWO_LEARNERS = (Machine("s3", "a", Role.LEARNER), Machine("s4", "b", Role.LEARNER))
GROWTH = Scope(
    "growth",
    (*THREE, *_TWO_LEARNERS),
    (EVACUATE_ZONE_A, offer_voter(_TWO_LEARNERS[0]), offer_voter(_TWO_LEARNERS[1])),
    first_store=(0, 0, 1),
    log_prefix=tuple(join(machine) for machine in (*THREE, *_TWO_LEARNERS)),
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS,
    tuning=READING,
    max_voters=5,
)
REPLACEMENT = Scope(
    "replacement",
    WITH_LEARNER,
    (EVACUATE_ZONE_A, replace_voter(WITH_LEARNER[2], WITH_LEARNER[3]), EVACUATE_ZONE_B),
    first_store=(0, 1, 1),
    log_prefix=SUSPECTED_VOTER,
    reader=True,
    ticks=EACH_TICKS,
    budget=FAULTS._replace(removals=1),
    tuning=READING,
)
