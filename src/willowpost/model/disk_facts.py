"""What a store would know if it started from a disk now; read by the store's own code."""

import json
from collections.abc import Sequence
from dataclasses import dataclass

from willowpost.consensus.replica import restoration
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.model.logical_time import NOW
from willowpost.state.apply.voters import is_change_complete
from willowpost.state.codec import MEMBER


@dataclass(frozen=True, slots=True)
class DiskFacts:
    """A disk's identity, the end of its log, and the voters it knows of.

    Attributes:
        identity: of the store.
        slot: below which it has all decisions.
        epoch: in force by its log.
        voters: identities of that epoch's voters.
        previous_voters: identities of the voters before the last change; empty: there was none.
        is_open: something of the epoch in force was decided, or its barrier was passed.
    """

    identity: str
    slot: int
    epoch: int
    voters: frozenset[str]
    previous_voters: frozenset[str]
    is_open: bool


def read_disk(lines: Sequence[str]) -> DiskFacts:
    """The facts of a disk whose records are these JSON texts, oldest first."""
    records = [json.loads(line) for line in lines]
    member = MEMBER.decode(records[0])
    state = ReplicaState(member)
    restoration.restore_state(state, records, NOW)
    tables = state.tables
    return DiskFacts(
        identity=member.identity,
        slot=tables.slot,
        epoch=tables.epoch,
        voters=tables.voter_identities(),
        previous_voters=frozenset(tables.previous_voter_identities()),
        is_open=state.passed_epoch >= tables.epoch or is_change_complete(tables),
    )
