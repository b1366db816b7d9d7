"""What a disk would tell if its store started from it now; read by the store's own code."""

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
    """A disk's identity, how far its log goes, and whom it holds for the voters.

    Attributes:
        identity: of the store.
        slot: below which it holds all decisions.
        epoch: in force by its log.
        voters: identities of that epoch's voters.
        previous_voters: identities of the voters before the last change; empty: there was none.
        opened: something of the epoch in force was decided, or its barrier was passed.
    """

    identity: str
    slot: int
    epoch: int
    voters: frozenset[str]
    previous_voters: frozenset[str]
    opened: bool


def read_disk(lines: Sequence[str]) -> DiskFacts:
    """The facts of a disk whose records are these JSON texts, oldest first."""
    records = [json.loads(line) for line in lines]
    me = MEMBER.decode(records[0])
    state = ReplicaState(me)
    restoration.restore_state(state, records, NOW)
    tables = state.tables
    return DiskFacts(
        identity=me.identity,
        slot=tables.slot,
        epoch=tables.epoch,
        voters=tables.voter_identities(),
        previous_voters=frozenset(tables.previous_voter_identities()),
        opened=state.passed_epoch >= tables.epoch or is_change_complete(tables),
    )
