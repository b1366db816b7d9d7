"""The protections that can be switched off, each with a scope that shows what it is for."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any

from willowpost.common.nonce import NonceSequence
from willowpost.consensus.replica import barrier, restoration
from willowpost.consensus.replica.quorum_reads import QuorumReads
from willowpost.consensus.replica.voting import Voting
from willowpost.consensus.thresholds import Thresholds
from willowpost.model.switches import ALL_PROTECTIONS_ON, Switches
from willowpost.node.quorum_read import QuorumRead

_ALL_SLOTS = 10**9


@dataclass(frozen=True, slots=True)
class SingleReplicaQuorum(Thresholds):
    """One replica is a quorum of its own."""

    @property
    def quorum(self) -> int:
        """One."""
        return 1

    @property
    def majority(self) -> int:
        """One."""
        return 1

    @property
    def deciding_votes(self) -> int:
        """One."""
        return 1


@dataclass(frozen=True, slots=True)
class OneVoteDecides(Thresholds):
    """One vote for a value decides, instead of f + 1."""

    @property
    def deciding_votes(self) -> int:
        """One."""
        return 1


@dataclass(frozen=True, slots=True)
class Replacement:
    """A method of a controller, or a function of its module, and what replaces it."""

    owner: type | ModuleType
    method: str
    function: Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Protection:
    """One protection: how it is switched off, and the scope in which that breaks an invariant."""

    name: str
    scope: str
    switches: Switches = ALL_PROTECTIONS_ON
    replacements: tuple[Replacement, ...] = ()

    @contextmanager
    def switched_off(self) -> Iterator[Switches]:
        """Within it the controllers lack the protection; yields the switches for the system."""
        with ExitStack() as stack:
            for replacement in self.replacements:
                stack.enter_context(_replaced(replacement))
            yield self.switches


@contextmanager
def _replaced(replacement: Replacement) -> Iterator[None]:
    original = getattr(replacement.owner, replacement.method)
    setattr(replacement.owner, replacement.method, replacement.function)
    try:
        yield
    finally:
        setattr(replacement.owner, replacement.method, original)


def _ignoring_the_epoch(owner: type, method: str) -> Replacement:
    original: Callable[[Any], None] = getattr(owner, method)

    def advance_freshness(self: Any) -> None:
        for read in self.reads.by_nonce.values():
            read.epoch = self.node_state.tables.epoch
        original(self)

    return Replacement(owner, method, advance_freshness)


def _numbers_from_zero(self: Any, daemon: str, incarnation: int, purpose: str) -> None:
    self.start = self.last = 0


def _holds_previous_quorum(node_state: Any) -> bool:
    previous = node_state.tables.previous_voter_identities()
    index = barrier.quorum_index(previous, node_state.synced_indexes, node_state.thresholds)
    return bool(index >= node_state.tables.epoch_first_slot())


def _holds_new_quorum(node_state: Any) -> bool:
    index = barrier.quorum_index(
        node_state.voter_addresses, node_state.synced_indexes, node_state.thresholds
    )
    return bool(index >= node_state.tables.epoch_first_slot())


def _dropping_the_ballot_state() -> Replacement:
    original: Callable[..., None] = restoration.restore_state

    def restore(node_state: Any, *arguments: Any) -> None:
        original(node_state, *arguments)
        if node_state.own_ballot_state is not None:
            node_state.pending_commands.drop(node_state.own_ballot_state.proposal)
            node_state.own_ballot_state, node_state.ballot_states = None, {}

    return Replacement(restoration, "restore_state", restore)


PROTECTIONS = {
    protection.name: protection
    for protection in (
        Protection("quorum", "two-commands", Switches(thresholds=SingleReplicaQuorum)),
        Protection("votes-to-decide", "split-proposals", Switches(thresholds=OneVoteDecides)),
        Protection("sync-before-send", "one-command", Switches(send_before_sync=True)),
        Protection(
            "synced-before-accepted",
            "one-command",
            replacements=(Replacement(barrier, "safe_slot", lambda node_state: _ALL_SLOTS),),
        ),
        Protection(
            "ballot-state-kept",
            "restarted",
            replacements=(_dropping_the_ballot_state(),),
        ),
        Protection(
            "epoch-barrier",
            "unheard",
            replacements=(Replacement(Voting, "_open_slot", lambda self, plan: True),),
        ),
        Protection(
            "barrier-over-new-voters",
            "replaced-late",
            replacements=(
                Replacement(barrier, "is_synced_by_both_quorums", _holds_previous_quorum),
            ),
        ),
        Protection(
            "barrier-over-former-voters",
            "unheard",
            replacements=(Replacement(barrier, "is_synced_by_both_quorums", _holds_new_quorum),),
        ),
        Protection("new-identity", "wiped", Switches(reuse_identity=True)),
        Protection(
            "read-numbers-of-one-life",
            "former-life",
            replacements=(Replacement(NonceSequence, "__init__", _numbers_from_zero),),
        ),
        Protection(
            "store-read-in-one-epoch",
            "store-read-over-change",
            replacements=(_ignoring_the_epoch(QuorumReads, "_advance_freshness"),),
        ),
        Protection(
            "reader-read-in-one-epoch",
            "read-over-change",
            replacements=(_ignoring_the_epoch(QuorumRead, "_advance_freshness"),),
        ),
    )
}
