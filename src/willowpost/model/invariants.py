"""The invariants of every state, and of every step of a process.

The texts of the rules are stored in saved traces.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from willowpost.common.digest import blake2b
from willowpost.common.errors import WillowpostError
from willowpost.consensus.replica.records import RecordKind
from willowpost.consensus.thresholds import Thresholds
from willowpost.model.disk_facts import DiskFacts
from willowpost.model.history import BallotKey, History
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


class InvariantViolationError(WillowpostError, AssertionError):
    """An invariant does not hold; `rule` names it, the text says where."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


AGREEMENT = "agreement"
BALLOT_CONTRADICTED = "ballot state unsaid"
DURABILITY = "accepted entry lost within f"
STALE_READ = "read misses an accepted entry"
SLOT_REGRESSION = "node went back a slot"
VERSION_CONFLICT = "two contents under one version"
PROCESS_FAILURE = "a process fails"


def record_decisions(history: History, records: Iterable[dict[str, Any]], where: str) -> History:
    """Agreement: one decision a slot, over all replicas that ever wrote one."""
    for record in records:
        if record["k"] not in (RecordKind.DECISION, RecordKind.KEPT):
            continue
        slot, key = record["slot"], record["key"]
        known = dict(history.decided).get(slot, key)
        if known != key:
            raise InvariantViolationError(
                AGREEMENT, f"{where} decides {key!r} in slot {slot}, decided {known!r}"
            )
        history = history.with_decided(slot, key)
    return history


def record_message(
    history: History, message: object, where: str, operations: Mapping[str, Operation]
) -> History:
    """Record what a message of a store promises, and check that it contradicts no earlier one.

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
                raise InvariantViolationError(
                    SLOT_REGRESSION,
                    f"{where} claims slot {slot}, as {identity}, and claimed more before",
                )
            return history.with_claimed_slot(identity, slot)
    return history


def _record_ballot(history: History, ballot: BallotState, where: str) -> History:
    ballot_key: BallotKey = (ballot.identity, ballot.epoch, ballot.slot)
    known = dict(history.ballots).get(ballot_key)
    if known is not None and not _extends(known, ballot):
        raise InvariantViolationError(BALLOT_CONTRADICTED, f"{where} in slot {ballot.slot}")
    if 1 in (*ballot.states, *ballot.votes) and not ballot.agreed:
        raise InvariantViolationError(
            BALLOT_CONTRADICTED, f"{where} has a 1 without the proposal that it refers to"
        )
    if known is not None and _steps(known) >= _steps(ballot):
        return history
    return history.with_ballot(ballot_key, _without_body(ballot))


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
    """One content under one version number, over all processes that ever had one."""
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
        raise InvariantViolationError(
            VERSION_CONFLICT, f"{statement} another content under version {version}"
        )
    return history.with_version(version, digest)


def check_progress(before: Any, after: Any, process: str) -> None:
    """No process goes back a slot within one incarnation.

    Args:
        before: The node state before a step.
        after: The same after it.
        process: The process that took the step.

    Raises:
        InvariantViolationError: It did.
    """
    if after.tables.slot < before.tables.slot:
        raise InvariantViolationError(
            SLOT_REGRESSION, f"{process} from {before.tables.slot} to {after.tables.slot}"
        )


def check_read(slot: int, history: History, process: str) -> None:
    """A read that completes covers all that was accepted before it began.

    Args:
        slot: How far the reading process is.
        history: What was promised so far.
        process: The process whose read completes.
    """
    bound = history.read_bound(process)
    if slot < bound:
        raise InvariantViolationError(
            STALE_READ,
            f"{process} completes a read at slot {slot}; what was accepted before the read started "
            f"reaches to {bound}",
        )


def check_restart(facts: DiskFacts, history: History, process: str) -> None:
    """A store that starts again has all that it claimed to have synced."""
    claimed = dict(history.claimed_slots).get(facts.identity, 0)
    if facts.slot < claimed:
        raise InvariantViolationError(
            SLOT_REGRESSION, f"{process} restarts at {facts.slot}, it claimed {claimed}"
        )


def newest_epoch(disks: Sequence[DiskFacts]) -> DiskFacts:
    """The disk that knows of the latest change of the voters."""
    return max(disks, key=lambda facts: (facts.epoch, facts.is_open, facts.slot))


def lost_voters(voters: frozenset[str], disks: Sequence[DiskFacts]) -> int:
    """How many of these voters have lost their disk, and with it their identity."""
    return len(voters - {facts.identity for facts in disks})


def voters_in_force(disks: Sequence[DiskFacts]) -> list[frozenset[str]]:
    """The voters in force; the previous ones too until the new epoch has been opened."""
    newest = newest_epoch(disks)
    opened = any(facts.epoch == newest.epoch and facts.is_open for facts in disks)
    if opened or not newest.previous_voters:
        return [newest.voters]
    return [newest.voters, newest.previous_voters]


def check_durability(disks: Sequence[DiskFacts], history: History) -> None:
    """What was accepted survives every further loss that f still allows.

    That is so if n - f voters in force, less those already lost, hold it on disk. Until somebody
    has opened a new epoch, the voters of the previous one may be the ones that hold it.
    """
    bound = history.accepted_bound()
    electorates = voters_in_force(disks)
    if not bound or any(_is_durable(voters, disks, bound) for voters in electorates):
        return
    durable_on = sorted(facts.identity for facts in disks if facts.slot >= bound)
    raise InvariantViolationError(
        DURABILITY,
        f"all below slot {bound} was accepted; of the voters {sorted(electorates[0])} it is "
        f"only on the disks of {durable_on}",
    )


def _is_durable(voters: frozenset[str], disks: Sequence[DiskFacts], bound: int) -> bool:
    limits = Thresholds(len(voters))
    durable_on = sum(facts.identity in voters and facts.slot >= bound for facts in disks)
    return durable_on >= limits.quorum - lost_voters(voters, disks)
