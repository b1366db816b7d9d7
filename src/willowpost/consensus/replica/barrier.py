"""The opening barrier of an epoch: when a change of the voters counts as finished.

A change of the voters that is decided in slot s takes effect in slot s + 1, the epoch's *first
slot*. The barrier is passed when

- n - f of the voters before the change hold every slot up to s on disk, so that a quorum read
  under the former epoch meets one that names the change, and
- n - f of the voters after the change hold every slot up to s on disk, so that the members that
  the change removed, and any f of the new ones, may be lost at once.

Both count synced indexes by identity; an identity is lost with its disk, so no index is ever
counted for a disk that came back empty.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from willowpost.common.events import Tick
from willowpost.common.plan import Plan
from willowpost.consensus.thresholds import Thresholds
from willowpost.state.tables import Tables
from willowpost.wire.messages import SyncedIndex

if TYPE_CHECKING:  # the replica state itself asks whether the barrier is passed
    from willowpost.consensus.replica.replica_state import ReplicaState


def quorum_index(
    identities: Iterable[str],
    synced_indexes: Mapping[str, int],
    thresholds: type[Thresholds] = Thresholds,
) -> int:
    """The slot below which n - f of these n identities hold everything on disk."""
    held = sorted((synced_indexes.get(identity, 0) for identity in identities), reverse=True)
    needed = thresholds(len(held)).quorum
    return held[needed - 1] if 0 < needed <= len(held) else 0


def first_slot(tables: Tables) -> int:
    """The first slot of the epoch in force; 0 in the epoch that the bootstrap members founded."""
    return tables.previous_voters.slot + 1 if tables.previous_voters else 0


def previous_identities(tables: Tables) -> tuple[str, ...]:
    """The voters of the epoch before the one in force; none in the first epoch."""
    return tables.previous_voters.identities() if tables.previous_voters else ()


def holds_both_quorums(node_state: ReplicaState) -> bool:
    """Whether n - f of the former and n - f of the new voters hold the change on disk."""
    return all(
        quorum_index(identities, node_state.synced_indexes, node_state.thresholds)
        >= first_slot(node_state.tables)
        for identities in (previous_identities(node_state.tables), node_state.voter_addresses)
    )


def is_beyond(node_state: ReplicaState) -> bool:
    """Whether a voter of the epoch in force has said that it holds the epoch's first slot."""
    begins = first_slot(node_state.tables)
    return any(
        node_state.synced_indexes.get(identity, 0) > begins
        for identity in node_state.voter_addresses
    )


def is_passed(node_state: ReplicaState) -> bool:
    """Whether the barrier of the epoch in force is known to be passed.

    It is, as well, when the log or another voter is beyond it: a ballot state for the first slot
    leaves a voter only after that voter saw the barrier passed, and a slot is decided only by
    n - f such voters.
    """
    tables = node_state.tables
    begins = first_slot(tables)
    return (
        tables.previous_voters is None
        or node_state.passed_epoch >= tables.epoch
        or tables.slot > begins
        or any(identity != node_state.member.identity for identity in node_state.ballot_states)
        or is_beyond(node_state)
        or holds_both_quorums(node_state)
    )


class FormerVoter:
    """Lets a replaced voter report its synced index until the new epoch has begun.

    The new voters may need it for the quorum of the former ones, and a single report may be lost.
    It stops when it hears that a voter is beyond the first slot. Voters report the same in
    `Catchup`.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.sent_at = 0

    def step(self, event, now: int) -> Plan:
        """On a tick: send the own synced index to all voters if they may still need it."""
        plan, node_state = Plan(), self.node_state
        due = now - self.sent_at >= node_state.tuning.synced_index
        if isinstance(event, Tick) and due and self._may_be_needed():
            self.sent_at = now
            index = SyncedIndex(node_state.member.identity, node_state.tables.slot)
            plan.sends += [(address, index) for address in node_state.other_addresses()]
        return plan

    def _may_be_needed(self) -> bool:
        node_state = self.node_state
        tables = node_state.tables
        return (
            not node_state.is_voter
            and tables.slot == first_slot(tables)
            and node_state.member.identity in previous_identities(tables)
            and not is_beyond(node_state)
        )
