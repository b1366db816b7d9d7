"""The opening barrier of an epoch, and which slots are safe on disk.

A change of the voters that is decided in slot s takes effect in slot s + 1, the epoch's *first
slot*. The barrier is passed when

- n - f of the voters before the change hold every slot up to s on disk, so that a quorum read
  under the previous epoch meets one that names the change, and
- n - f of the voters after the change hold every slot up to s on disk, so that the members that
  the change removed, and any f of the new ones, may be lost at once.

Both count synced indexes by identity; an identity is lost with its disk, so no index is ever
counted for a disk that came back empty. See docs/design/rabia.md, exception 1.
"""

from collections.abc import Iterable, Mapping

from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.thresholds import Thresholds


def quorum_index(
    identities: Iterable[str],
    synced_indexes: Mapping[str, int],
    thresholds: type[Thresholds] = Thresholds,
) -> int:
    """Return the slot below which n - f of these n identities hold everything on disk."""
    indexes = sorted((synced_indexes.get(identity, 0) for identity in identities), reverse=True)
    quorum = thresholds(len(indexes)).quorum
    return indexes[quorum - 1] if 0 < quorum <= len(indexes) else 0


def safe_slot(node_state: ReplicaState) -> int:
    """Return the slot below which everything is synced on n - f voters.

    It stays so if the replaced voters are lost. Until the barrier of the epoch in force is passed,
    n - f of the previous voters must hold it as well: a reader that does not know of the change
    reads from those.
    """
    synced_indexes, thresholds = node_state.synced_indexes, node_state.thresholds
    index = quorum_index(node_state.voter_addresses, synced_indexes, thresholds)
    if is_passed(node_state):
        return index
    previous = node_state.tables.previous_voter_identities()
    return min(index, quorum_index(previous, synced_indexes, thresholds))


def is_synced_by_both_quorums(node_state: ReplicaState) -> bool:
    """Whether n - f of the previous and n - f of the new voters hold the change on disk."""
    tables = node_state.tables
    return all(
        quorum_index(identities, node_state.synced_indexes, node_state.thresholds)
        >= tables.epoch_first_slot()
        for identities in (tables.previous_voter_identities(), node_state.voter_addresses)
    )


def is_first_slot_decided(node_state: ReplicaState) -> bool:
    """Whether a voter of the epoch in force has reported that it holds the epoch's first slot."""
    return node_state.highest_synced_index() > node_state.tables.epoch_first_slot()


def is_passed(node_state: ReplicaState) -> bool:
    """Whether the barrier of the epoch in force is known to be passed.

    It is, as well, when the log or another voter is beyond it: a ballot state for the first slot
    leaves a voter only after that voter saw the barrier passed, and a slot is decided only by
    n - f such voters.
    """
    tables = node_state.tables
    return (
        tables.previous_voters is None
        or node_state.passed_epoch >= tables.epoch
        or tables.slot > tables.epoch_first_slot()
        or any(identity != node_state.member.identity for identity in node_state.ballot_states)
        or is_first_slot_decided(node_state)
        or is_synced_by_both_quorums(node_state)
    )
