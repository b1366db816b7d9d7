"""Answers submitters: accepted means decided, and synced to disk on n - f voters."""

from dataclasses import dataclass
from typing import Any

from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.pending_queue import COMMAND_LIFETIME_US
from willowpost.consensus.replica import barrier
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.apply import recorded_results
from willowpost.state.outcomes import (
    Applied,
    Barred,
    CommandOutcome,
    ResultsDropped,
    SenderForgotten,
    encode_outcome,
)
from willowpost.wire.messages import Command, CommandAccepted, SubmitCommand

MAX_PENDING_SUBMISSIONS = 4096


@dataclass(slots=True)
class PendingSubmission:
    """A command that was submitted here, and who wants its answer.

    Attributes:
        command: that was submitted.
        source: address of the submitter.
        submitted_at: when it was last submitted; µs, own clock.
    """

    command: Command
    source: str
    submitted_at: int


class Acceptance:
    """Sends `CommandAccepted` once n - f voters hold every slot up to the command's on disk.

    See `barrier.safe_slot`. At most MAX_PENDING_SUBMISSIONS wait at once; further ones get no
    answer. One that has expired undecided (`PendingQueue`) is forgotten; should it be decided all
    the same, its submitter is answered when it submits it again.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.submissions: dict[str, PendingSubmission] = {}  # by the command's key

    def step(self, event: Any, now: int) -> Plan:
        """Record a `SubmitCommand`, then answer every command whose slot is safe."""
        plan = Plan()
        match event:
            case Received(source, SubmitCommand(command)) if (
                len(self.submissions) < MAX_PENDING_SUBMISSIONS
            ):
                self.submissions[command.key] = PendingSubmission(command, source, now)
            case Tick():
                self._forget_expired(now)
        if self.submissions:
            self._answer_safe_submissions(plan)
        return plan

    def _forget_expired(self, now: int) -> None:
        expired = [
            key
            for key, submission in self.submissions.items()
            if now - submission.submitted_at >= COMMAND_LIFETIME_US
        ]
        for key in expired:
            del self.submissions[key]

    def _answer_safe_submissions(self, plan: Plan) -> None:
        safe_slot = barrier.safe_slot(self.node_state)
        for key, submission in tuple(self.submissions.items()):
            outcome = self._outcome(submission.command)
            if outcome is None or outcome.slot >= safe_slot:
                continue
            del self.submissions[key]
            answer = CommandAccepted(key, outcome.slot, encode_outcome(outcome))
            plan.send(submission.source, answer)

    def _outcome(self, command: Command) -> CommandOutcome | None:
        """Return the outcome of the command in the log; None while it is not decided."""
        tables = self.node_state.tables
        if not self.node_state.is_decided(command):
            return None
        newest_slot = tables.slot - 1
        history = tables.command_histories.get(command.daemon)
        if history is None:
            return SenderForgotten(newest_slot, tables.forgotten_incarnation)
        if history.incarnation > command.incarnation:
            return Barred(newest_slot, history.incarnation)
        recorded = recorded_results(tables, command)
        if recorded is None:
            return ResultsDropped(newest_slot)
        return Applied(recorded.slot, recorded.results)
