"""Answers the polls of daemons that follow the log through this one."""

from willowpost.consensus.log_size import leading
from willowpost.node.node_state import NodeState
from willowpost.state.snapshot_transfer import NO_SLOT
from willowpost.wire.messages import Decision, Poll, SnapshotChunk, StateUpdate

# In one StateUpdate. A poll is repeated every POLL_INTERVAL_US until an answer has come, so an
# answer must pass a link of 600 KB/s in less: else answers to repeated polls pile up on it, all
# late.
MAX_DECISIONS_BYTES = 64 * 1024


def state_update_for(poll: Poll, node_state: NodeState, now: int) -> StateUpdate | None:
    """Return the answer to a poll; None if this daemon has no tables.

    It is a chunk of a snapshot if the recent decisions do not reach back to the polled slot, else
    the decisions from that slot on.

    Args:
        poll: what the follower sent.
        node_state: of this daemon; its outgoing snapshot may be made anew.
        now: µs, own clock.
    """
    if not node_state.tables.epoch:
        return None
    first_slot = node_state.tables.slot - len(node_state.recent_decisions)
    chunk: SnapshotChunk | None = None
    decisions: tuple[Decision, ...] = ()
    if poll.blank or poll.slot < first_slot:
        chunk = node_state.outgoing_snapshot.chunk(
            node_state.tables,
            NO_SLOT if poll.blank else poll.slot,
            first_slot,
            poll.snapshot,
            now,
        )
    elif poll.slot < node_state.tables.slot:
        recent = node_state.recent_decisions[poll.slot - first_slot :]
        decisions = leading(recent, MAX_DECISIONS_BYTES)
    slot = poll.slot + len(decisions) if decisions else node_state.tables.slot
    age = node_state.tables_age(now)
    is_fresh = age is not None and slot >= node_state.tables.slot >= poll.slot
    return StateUpdate(poll.nonce, slot, age or 0, is_fresh, decisions, piece=chunk)
