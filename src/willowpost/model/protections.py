"""The protections that can be switched off, each with a scope that shows what it is for."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any

from willowpost.common.nonce import NonceSequence
from willowpost.consensus.replica import barrier
from willowpost.consensus.replica.quorum_reads import Reads
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.replica.voting import Voting
from willowpost.consensus.thresholds import Thresholds
from willowpost.model.parts import Switches
from willowpost.node.quorum_read import QuorumRead

_ALL_SLOTS = 10**9


@dataclass(frozen=True, slots=True)
class EachAlone(Thresholds):
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
    """One vote for a value decides, in place of f + 1."""

    @property
    def deciding_votes(self) -> int:
        """One."""
        return 1


@dataclass(frozen=True, slots=True)
class Replacement:
    """A method of a controller, or a function of its module, and what stands in its place."""

    owner: type | ModuleType
    method: str
    function: Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Protection:
    """One protection: how it is switched off, and the scope in which that breaks an invariant."""

    name: str
    scope: str
    switches: Switches = Switches()
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


def _whatever_the_epoch(owner: type) -> Replacement:
    original: Callable[[Any], None] = owner._settle  # type: ignore[attr-defined]

    def settle(self: Any) -> None:
        for read in self.reads.open.values():
            read.epoch = self.node_state.tables.epoch
        original(self)

    return Replacement(owner, "_settle", settle)


def _numbers_from_zero(self: Any, daemon: str, incarnation: int, purpose: str) -> None:
    self.start = self.last = 0


def _holds_previous_quorum(node_state: Any) -> bool:
    previous = barrier.previous_identities(node_state.tables)
    index = barrier.quorum_index(previous, node_state.synced_indexes, node_state.thresholds)
    return index >= barrier.first_slot(node_state.tables)


def _holds_new_quorum(node_state: Any) -> bool:
    index = barrier.quorum_index(
        node_state.voter_addresses, node_state.synced_indexes, node_state.thresholds
    )
    return index >= barrier.first_slot(node_state.tables)


def _forgetting_the_ballot_state() -> Replacement:
    original: Callable[..., None] = ReplicaState.restore

    def restore(self: Any, *arguments: Any) -> None:
        original(self, *arguments)
        if self.own_ballot_state is not None:
            self.pending_commands.drop(self.own_ballot_state.proposal)
            self.own_ballot_state, self.ballot_states = None, {}

    return Replacement(ReplicaState, "restore", restore)


PROTECTIONS = {
    protection.name: protection
    for protection in (
        Protection("quorum", "two-commands", Switches(thresholds=EachAlone)),
        Protection("votes-to-decide", "split-proposals", Switches(thresholds=OneVoteDecides)),
        Protection("sync-before-send", "one-command", Switches(send_before_sync=True)),
        Protection(
            "synced-before-accepted",
            "one-command",
            replacements=(Replacement(ReplicaState, "safe_slot", lambda self: _ALL_SLOTS),),
        ),
        Protection(
            "ballot-state-kept",
            "restarted",
            replacements=(_forgetting_the_ballot_state(),),
        ),
        Protection(
            "epoch-barrier",
            "unheard",
            replacements=(Replacement(Voting, "_opened", lambda self, plan: True),),
        ),
        Protection(
            "barrier-over-new-voters",
            "replaced-late",
            replacements=(Replacement(barrier, "holds_both_quorums", _holds_previous_quorum),),
        ),
        Protection(
            "barrier-over-former-voters",
            "unheard",
            replacements=(Replacement(barrier, "holds_both_quorums", _holds_new_quorum),),
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
            replacements=(_whatever_the_epoch(Reads),),
        ),
        Protection(
            "reader-read-in-one-epoch",
            "read-over-change",
            replacements=(_whatever_the_epoch(QuorumRead),),
        ),
    )
}
