"""What must hold in every state, and after every step of a process."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from willowpost.common.digest import blake2b
from willowpost.consensus.replica.records import RecordKind
from willowpost.consensus.thresholds import Thresholds
from willowpost.model.disk_facts import DiskFacts
from willowpost.model.history import BallotPlace, History
from willowpost.state.codec import decode_results
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.operations import Operation
from willowpost.state.results import ConfigurationAccepted, Result
from willowpost.state.tables import Tables
from willowpost.wire.messages import (
    BallotState,
    CommandAccepted,
    QuorumReadResponse,
    SyncedIndex,
)


class Violation(AssertionError):
    """An invariant does not hold; `rule` names it, the text says where."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


AGREEMENT = "agreement"
BALLOT_UNSAID = "ballot state unsaid"
DURABILITY = "accepted entry lost within f"
STALE_READ = "read misses an accepted entry"
WENT_BACK = "node went back a slot"
ONE_CONTENT = "two contents under one version"
FAILED = "a process fails"


def record_decisions(history: History, records: Iterable[dict[str, Any]], where: str) -> History:
    """Agreement: one decision a slot, over all replicas that ever wrote one."""
    for record in records:
        if record["k"] not in (RecordKind.DECISION, RecordKind.KEPT):
            continue
        slot, key = record["slot"], record["key"]
        known = dict(history.decided).get(slot, key)
        if known != key:
            raise Violation(AGREEMENT, f"{where} decides {key!r} in slot {slot}, decided {known!r}")
        history = history.with_decided(slot, key)
    return history


def record_message(
    history: History, message: object, where: str, operations: Mapping[str, Operation]
) -> History:
    """What a message that leaves a store promises, and that it unsays nothing.

    Args:
        history: What was promised so far.
        message: The message that leaves.
        where: The store that sends it.
        operations: The operation of each client's command, by the command's key.
    """
    match message:
        case BallotState():
            return _record_ballot(history, message, where)
        case CommandAccepted(key, slot, answers):
            stored_results = json.loads(answers)
            if not isinstance(stored_results, list):
                return history  # barred, or forgotten: nothing was promised
            history = history.with_accepted(slot, key)
            result = decode_results(stored_results)[0]
            return _record_confirmation(history, operations.get(key), result, where)
        case SyncedIndex(identity, slot) | QuorumReadResponse(_, identity, slot):
            if slot < dict(history.claimed_slots).get(identity, 0):
                raise Violation(WENT_BACK, f"{where} says slot {slot}, as {identity}, said more")
            return history.with_claimed_slot(identity, slot)
    return history


def _record_ballot(history: History, ballot: BallotState, where: str) -> History:
    place: BallotPlace = (ballot.identity, ballot.epoch, ballot.slot)
    known = dict(history.ballots).get(place)
    if known is not None and not _extends(known, ballot):
        raise Violation(BALLOT_UNSAID, f"{where} in slot {ballot.slot}")
    if 1 in (*ballot.states, *ballot.votes) and not ballot.agreed:
        raise Violation(BALLOT_UNSAID, f"{where} says 1 without the proposal it stands for")
    if known is not None and _steps(known) >= _steps(ballot):
        return history
    return history.with_ballot(place, _without_body(ballot))


def _extends(one: BallotState, other: BallotState) -> bool:
    """Whether one of the two is a continuation of the other."""
    return (
        one.proposal == other.proposal
        and all(a == b for a, b in zip(one.states, other.states, strict=False))
        and all(a == b for a, b in zip(one.votes, other.votes, strict=False))
        and (not one.agreed or not other.agreed or one.agreed == other.agreed)
    )


def _steps(ballot: BallotState) -> int:
    return len(ballot.states) + len(ballot.votes)


def _without_body(ballot: BallotState) -> BallotState:
    return BallotState(
        ballot.identity,
        ballot.epoch,
        ballot.slot,
        ballot.proposal,
        states=ballot.states,
        votes=ballot.votes,
        agreed=ballot.agreed,
    )


def record_configuration(history: History, tables: Tables, where: str) -> History:
    """One content under one version number, over all processes that ever held one."""
    configuration = tables.configuration
    if configuration.tree is None:
        return history
    return _with_content(history, configuration.version, configuration.tree, f"{where} holds")


def _record_confirmation(
    history: History, operation: Operation | None, result: Result, where: str
) -> History:
    """A configuration that is confirmed under its number is the content of that number."""
    if not isinstance(operation, ConfigurationProposal):
        return history
    if not isinstance(result, ConfigurationAccepted):
        return history
    if result.version != operation.version:
        return history  # a later one is in force, and the result says so
    return _with_content(history, result.version, operation.tree, f"{where} confirms")


def _with_content(history: History, version: int, tree: object, statement: str) -> History:
    digest = blake2b(json.dumps(tree, sort_keys=True).encode(), digest_size=8).hexdigest()
    known = dict(history.versions).get(version, digest)
    if known != digest:
        raise Violation(ONE_CONTENT, f"{statement} another content under version {version}")
    return history.with_version(version, digest)


def check_progress(before: Any, after: Any, process: str) -> None:
    """No process goes back a slot within one incarnation.

    Args:
        before: The node state before a step.
        after: The same after it.
        process: The process that took the step.

    Raises:
        Violation: It did.
    """
    if after.tables.slot < before.tables.slot:
        raise Violation(WENT_BACK, f"{process} from {before.tables.slot} to {after.tables.slot}")


def check_read(slot: int, history: History, process: str) -> None:
    """A read that completes covers all that was accepted before it began.

    Args:
        slot: How far the reading process is.
        history: What was promised so far.
        process: The process whose read completes.
    """
    bound = history.read_bound(process)
    if slot < bound:
        raise Violation(
            STALE_READ,
            f"{process} calls itself whole at slot {slot}; what was accepted before it asked "
            f"reaches to {bound}",
        )


def check_restart(facts: DiskFacts, history: History, process: str) -> None:
    """A store that starts again holds all that it said it had synced."""
    claimed = dict(history.claimed_slots).get(facts.identity, 0)
    if facts.slot < claimed:
        raise Violation(WENT_BACK, f"{process} restarts at {facts.slot}, it said {claimed}")


def newest_epoch(disks: Sequence[DiskFacts]) -> DiskFacts:
    """The disk that knows of the latest change of the voters."""
    return max(disks, key=lambda facts: (facts.epoch, facts.opened, facts.slot))


def lost_voters(voters: frozenset[str], disks: Sequence[DiskFacts]) -> int:
    """How many of these voters have lost their disk, and with it their identity."""
    return len(voters - {facts.identity for facts in disks})


def voters_in_force(disks: Sequence[DiskFacts]) -> list[frozenset[str]]:
    """The voters in force; the previous ones too until the new epoch has been opened."""
    newest = newest_epoch(disks)
    opened = any(facts.epoch == newest.epoch and facts.opened for facts in disks)
    if opened or not newest.previous_voters:
        return [newest.voters]
    return [newest.voters, newest.previous_voters]


def check_durability(disks: Sequence[DiskFacts], history: History) -> None:
    """What was accepted survives every further loss that f still allows.

    That is so if n - f voters in force, less those already lost, hold it on disk. Until somebody
    has opened a new epoch, the voters of the former one may be the ones that hold it.
    """
    bound = history.bound()
    electorates = voters_in_force(disks)
    if not bound or any(_holds(voters, disks, bound) for voters in electorates):
        return
    holding = sorted(facts.identity for facts in disks if facts.slot >= bound)
    raise Violation(
        DURABILITY,
        f"all below slot {bound} was accepted; of the voters {sorted(electorates[0])} it stands "
        f"only on the disks of {holding}",
    )


def _holds(voters: frozenset[str], disks: Sequence[DiskFacts], bound: int) -> bool:
    limits = Thresholds(len(voters))
    holding = sum(facts.identity in voters and facts.slot >= bound for facts in disks)
    return holding >= limits.quorum - lost_voters(voters, disks)
