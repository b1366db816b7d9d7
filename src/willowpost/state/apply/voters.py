"""The voters: the operations that change them, and the checks that these must pass."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

from willowpost.state.apply.daemons import with_daemon, without_daemons
from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import DaemonEntry, PreviousVoters, VoterOffer
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import OfferVoter, OpenEpoch, ReplaceVoter
from willowpost.state.results import (
    Accepted,
    Reason,
    Rejected,
    VotersChanged,
    too_many_voters_in_zone,
)
from willowpost.state.tables import Tables
from willowpost.wire.messages import Member

STORE = "store"  # the kind of daemon that may vote
ADDED_AT_ONCE = 2  # voters; so their number stays odd
# a voter in one of these states may be replaced by a learner of another machine
REPLACEABLE_STATES = (DaemonState.LOST, DaemonState.DRAINING)


def replace_voter(tables: Tables, operation: ReplaceVoter) -> Transition:
    """Replace a voter that is lost or shuts down by a learner, from the next slot on.

    A voter at the learner's own address may be replaced in any state; one on a machine of the same
    name, unless it is up.

    n never changes, and one slot changes the voters at most once. The learner must be up by the
    log, so that a late command never makes a voter of a store that is gone meanwhile.
    """
    replaced, learner = operation.replaced, operation.learner
    reason = rejection_of_replacement(tables, replaced, learner)
    if reason is not None:
        return rejected(tables, reason)
    after = replace(
        _with_voters(tables, _with_replaced(tables, replaced, learner)),
        daemons={name: daemon for name, daemon in tables.daemons.items() if name != replaced},
        suspicions=without_daemons(tables.suspicions, {replaced}),
        failure_verdicts=tuple(
            replace(verdict, repaired_slot=tables.slot) if verdict.daemon == replaced else verdict
            for verdict in tables.failure_verdicts
        ),
    )
    return Transition(after, VotersChanged(after.epoch))


def _with_voters(tables: Tables, voters: tuple[Member, ...]) -> Tables:
    """Return the tables with other voters, who vote in a new epoch from the next slot on."""
    return replace(
        tables,
        voters=voters,
        epoch=tables.epoch + 1,
        previous_voters=PreviousVoters(tables.slot, tables.voters),
    )


def rejection_of_replacement(tables: Tables, replaced: str, learner: Member) -> str | None:
    """Return why the log would reject that `learner` replaces the voter `replaced`, or None."""
    members = {voter.identity: voter for voter in tables.voters}
    if replaced not in members or learner.identity in members:
        return Reason.NOT_A_REPLACEMENT
    if changed_in_this_slot(tables):
        return Reason.VOTERS_CHANGED_IN_SLOT
    if not _is_store_up(tables, learner.identity):
        return Reason.LEARNER_NOT_UP
    is_successor = _runs_on_machine_of(tables, members[replaced], learner)
    if not is_successor and _state(tables, replaced) not in REPLACEABLE_STATES:
        return Reason.VOTER_STAYS
    voters = _with_replaced(tables, replaced, learner)
    if not is_spread(tables.voters, voters):
        return too_many_voters_in_zone(tolerated_failures(len(voters)))
    return None


def replaceable_by(tables: Tables, learner: Member) -> Member | None:
    """Return the voter that the log would let this learner replace, or None.

    The previous identity of the learner's own machine comes first, then lost voters, then those
    that shut down.
    """

    def order(voter: Member) -> tuple[bool, bool]:
        on_same_machine = _runs_on_machine_of(tables, voter, learner)
        is_lost = _state(tables, voter.identity) is DaemonState.LOST
        return not on_same_machine, not is_lost

    candidates = [
        voter
        for voter in tables.voters
        if rejection_of_replacement(tables, voter.identity, learner) is None
    ]
    return min(candidates, key=order, default=None)


def successor_of(tables: Tables, identity: str) -> str | None:
    """Return a learner that could replace this voter once it shuts down, or None."""
    voter = tables.daemons.get(identity)
    if voter is None:
        return None
    after = with_daemon(tables, replace(voter, state=DaemonState.DRAINING))
    return next(
        (
            name
            for name, other in sorted(tables.daemons.items())
            if other.kind == STORE
            and rejection_of_replacement(after, identity, other.as_member()) is None
        ),
        None,
    )


def changed_in_this_slot(tables: Tables) -> bool:
    """Whether an earlier operation of the command being applied changed the voters."""
    return tables.previous_voters is not None and tables.previous_voters.slot == tables.slot


def open_epoch(tables: Tables, operation: OpenEpoch) -> Transition:
    """Answer the operation by which a voter has the first slot of its epoch decided.

    It changes nothing: that the slot is decided is enough (`is_change_complete`).
    """
    if operation.epoch <= tables.epoch:
        return Transition(tables, Accepted())
    return Transition(tables, Rejected(reason=None))


def is_change_complete(tables: Tables) -> bool:
    """Whether the last change of the voters is complete: a later slot was decided.

    That slot opened behind the barrier (`consensus/replica/barrier.py`), so n - f of the new voters
    hold everything that was accepted before the change.
    """
    return tables.previous_voters is None or tables.slot > tables.epoch_first_slot()


def offer_voter(tables: Tables, operation: OfferVoter) -> Transition:
    """Record a learner's offer to vote; if a second learner's offer fits, add both to the voters.

    They vote from the next slot on. n goes from odd to odd, to at most `max_voters`, and only while
    every voter and both learners are up.
    """
    learner = tables.daemons.get(operation.learner)
    if (
        learner is None
        or learner.kind != STORE
        or learner.incarnation != operation.incarnation
        or learner.id in tables.voter_identities()
    ):
        return rejected(tables, Reason.NOT_A_LEARNER)
    offer = VoterOffer(tables.slot, operation.max_voters)
    offered = with_daemon(tables, replace(learner, voter_offer=offer))
    voters = None if changed_in_this_slot(tables) else with_voters_added(offered, learner.id)
    if voters is None:
        return rejected(offered, Reason.OFFER_RECORDED)
    after = _with_voters(offered, voters)
    return Transition(after, VotersChanged(after.epoch))


def with_voters_added(tables: Tables, learner: str) -> tuple[Member, ...] | None:
    """Return the voters with this learner and a second one added; None if not possible now."""
    is_anyone_missing = any(
        _state(tables, voter.identity) is not DaemonState.UP for voter in tables.voters
    )
    if is_anyone_missing or not _has_valid_offer(tables, learner):
        return None
    return next(
        (
            voters
            for voters in _extended_voters(tables, learner)
            if is_spread(tables.voters, voters) and _are_distinct_machines(voters)
        ),
        None,
    )


def _extended_voters(tables: Tables, learner: str) -> Iterator[tuple[Member, ...]]:
    first = tables.daemons[learner].as_member()
    for other in sorted(tables.daemons):
        if other != learner and _has_valid_offer(tables, other):
            yield (*tables.voters, first, tables.daemons[other].as_member())


def tolerated_failures(n: int) -> int:
    """Return f: how many of n voters may fail."""
    return (n - 1) // 2


def is_spread(before: tuple[Member, ...], voters: tuple[Member, ...]) -> bool:
    """Whether no zone has more voters than may fail, or than the fullest zone had before.

    With few zones the bootstrap members leave no better choice, and a voter that stays lost is
    worse than a replacement in another zone.
    """
    allowed = max(tolerated_failures(len(voters)), _fullest_zone(before))
    return _fullest_zone(voters) <= allowed


def _fullest_zone(voters: tuple[Member, ...]) -> int:
    return max(Counter(voter.zone for voter in voters).values(), default=0)


def _has_valid_offer(tables: Tables, learner: str) -> bool:
    """Whether this learner's offer to vote counts.

    It must be up, not have been lost since the offer, and the voters may grow by two within its
    limit.
    """
    daemon = tables.daemons.get(learner)
    return (
        daemon is not None
        and daemon.voter_offer is not None
        and daemon.state is DaemonState.UP
        and len(tables.voters) + ADDED_AT_ONCE <= daemon.voter_offer.max_voters
        and learner not in tables.voter_identities()
        and not was_lost_since(tables, daemon, daemon.voter_offer.slot)
    )


def was_lost_since(tables: Tables, daemon: DaemonEntry, slot: int) -> bool:
    """Whether the daemon was declared lost in `slot` or later."""
    return any(
        verdict.daemon == daemon.id and verdict.slot >= slot for verdict in tables.failure_verdicts
    )


def _are_distinct_machines(voters: tuple[Member, ...]) -> bool:
    """Whether all voters differ in machine and address.

    The new identity of a machine whose disk was wiped replaces its previous one; it adds
    no voter.
    """
    names = {voter.name for voter in voters}
    addresses = {voter.address for voter in voters}
    return len(names) == len(addresses) == len(voters)


def _with_replaced(tables: Tables, replaced: str, learner: Member) -> tuple[Member, ...]:
    return tuple(learner if voter.identity == replaced else voter for voter in tables.voters)


def _runs_on_machine_of(tables: Tables, voter: Member, learner: Member) -> bool:
    """Whether the learner runs where the voter ran, whose disk is therefore lost.

    Two machines with one name and two addresses are two: the one that is up stays a voter, or each
    would keep replacing the other.
    """
    if voter.address == learner.address:
        return True
    is_up = _state(tables, voter.identity) is DaemonState.UP
    return voter.name == learner.name and not is_up


def _is_store_up(tables: Tables, identity: str) -> bool:
    daemon = tables.daemons.get(identity)
    return daemon is not None and daemon.kind == STORE and daemon.state is DaemonState.UP


def _state(tables: Tables, identity: str) -> DaemonState | None:
    daemon = tables.daemons.get(identity)
    return None if daemon is None else daemon.state
