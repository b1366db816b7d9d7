"""What a disk would tell if its store started from it now; read by the store's own code."""

import json
from collections.abc import Sequence
from dataclasses import dataclass

from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.model.logical_time import NOW
from willowpost.wire.messages import Member


@dataclass(frozen=True, slots=True)
class DiskFacts:
    """A disk's identity, how far its log goes, and whom it holds for the voters.

    `opened`: something of the epoch in force was decided, or its barrier was passed.
    """

    identity: str
    slot: int
    epoch: int
    core: frozenset[str]
    former: frozenset[str]
    opened: bool


def read_disk(lines: Sequence[str]) -> DiskFacts:
    """The facts of a disk whose records are these JSON texts, oldest first."""
    records = [json.loads(line) for line in lines]
    me = Member(records[0]["identity"], records[0]["name"])
    state = ReplicaState(me)
    state.restore(records, NOW)
    tables = state.tables
    former = tables.former
    changed_at = former["slot"] if former else -1
    return DiskFacts(
        identity=me.identity,
        slot=tables.slot,
        epoch=tables.epoch,
        core=frozenset(member["identity"] for member in tables.core),
        former=frozenset(member["identity"] for member in former.get("core", ())),
        opened=not former or state.passed >= tables.epoch or tables.slot > changed_at + 1,
    )
