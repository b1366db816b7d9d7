"""Submits this daemon's operations to the log: batches them, retries, and reports the outcomes."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick, WithdrawSubmission
from willowpost.common.plan import Plan
from willowpost.node.pending_commands import PendingCommand, Submission
from willowpost.state.codec import encode_operation
from willowpost.state.outcomes import Applied, Barred, SenderForgotten, decode_outcome
from willowpost.state.results import Result
from willowpost.wire.messages import Command, CommandAccepted, SubmitCommand

MAX_BATCH_AGE_US = 5 * MILLISECOND
MAX_BATCH_OPERATIONS = 20
RETRY_INTERVAL_US = 400 * MILLISECOND
# A store that left a command unanswered is the last choice for so long.
UNRESPONSIVE_STORE_PENALTY_US = 5 * SECOND


@dataclass(frozen=True, slots=True)
class SubmissionOutcome:
    """What the log made of the operations of one caller.

    Attributes:
        slot: that decided them, or a later one if that is not known.
        results: one for each operation; None if they are not known.
    """

    slot: int
    results: tuple[Result, ...] | None


class CommandClient:
    """Submits commands to the stores until they are answered or nobody needs them any more.

    A command is retried under the same key. A stamp is greater than every stamp given before it
    here. No command is retried once every caller that waited for it has withdrawn, or its
    operations have expired. Operations that nobody waits for and that do not expire never share a
    command with others, so that they do not keep those alive.

    Operations that nobody waits for are in one unanswered command at most: to submit them again
    renews their lifetime. A log that falls behind would else be given each of them anew, again and
    again, and fall further behind.

    Args:
        daemon: id of this daemon.
        incarnation: of this process.
        store_addresses: returns the addresses of the stores, nearest first.
        wall_clock: returns µs of the wall clock, which may jump.
    """

    def __init__(
        self,
        daemon: str,
        incarnation: int,
        store_addresses: Callable[[], Sequence[str]],
        wall_clock: Callable[[], int],
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation
        self.store_addresses = store_addresses
        self.wall_clock = wall_clock
        self.counter = 0
        self.stamp = 0
        self.batch: list[Submission] = []
        self.batch_started_at = 0
        self.pending: dict[str, PendingCommand] = {}  # by the command's key
        self.unanswered_at: dict[str, int] = {}  # address of a store -> when it timed out, µs

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event.

        `SubmitOperations` adds operations to the batch, `WithdrawSubmission` ends a caller's wait,
        `CommandAccepted` answers the callers of a command, and a tick retries what has waited for
        RETRY_INTERVAL_US. A batch is submitted when it has MAX_BATCH_OPERATIONS operations or is
        MAX_BATCH_AGE_US old.

        Returns:
            The submissions; replies are `SubmissionOutcome`.
        """
        plan = Plan()
        match event:
            case SubmitOperations() as request:
                self._add_to_batch(request, now)
            case WithdrawSubmission(token):
                self._withdraw(token)
            case Received(source, CommandAccepted() as accepted):
                self.unanswered_at.pop(source, None)
                if accepted.key in self.pending:
                    self._handle_answer(accepted, now, plan)
        if self._is_batch_due(now):
            self._submit_batch(now, plan)
        if isinstance(event, Tick):
            self._retry(now, plan)
        return plan

    def waiting(self) -> int:
        """Return how many callers in this process wait for an outcome."""
        in_batch = sum(submission.token is not None for submission in self.batch)
        return in_batch + sum(len(entry.waiting_tokens()) for entry in self.pending.values())

    def _add_to_batch(self, request: SubmitOperations, now: int) -> None:
        expires_at = None if request.lifetime is None else now + request.lifetime
        submission = Submission(request.token, request.operations, expires_at)
        if submission.token is None and self._renew(submission):
            return
        if not self.batch:
            self.batch_started_at = now
        self.batch.append(submission)

    def _renew(self, submission: Submission) -> bool:
        """Renew the lifetime of equal operations that are unanswered; False if there are none."""
        if any(submission.is_repeat_of(other) for other in self.batch):
            return True
        for entry in self.pending.values():
            if any(submission.is_repeat_of(other) for other in entry.submissions):
                entry.submissions = tuple(
                    submission if submission.is_repeat_of(other) else other
                    for other in entry.submissions
                )
                return True
        return False

    def _is_batch_due(self, now: int) -> bool:
        if not self.batch:
            return False
        operations = sum(len(submission.operations) for submission in self.batch)
        return operations >= MAX_BATCH_OPERATIONS or now - self.batch_started_at >= MAX_BATCH_AGE_US

    def _withdraw(self, token: object) -> None:
        self.batch = [submission for submission in self.batch if submission.token != token]
        for entry in self.pending.values():
            if token in entry.waiting_tokens():
                entry.withdrawn_tokens.add(token)

    def _submit_batch(self, now: int, plan: Plan) -> None:
        """Submit the batch as one command of what is retried for ever and one of the rest."""
        batch, self.batch = self.batch, []
        for is_unconditional in (True, False):
            submissions = tuple(
                submission
                for submission in batch
                if submission.is_unconditional is is_unconditional
            )
            if submissions:
                self._submit_new(_command_body(submissions), submissions, now, plan)

    def _submit_new(
        self, body: str, submissions: tuple[Submission, ...], now: int, plan: Plan
    ) -> PendingCommand:
        """Submit a body as a new command of this incarnation."""
        self.counter += 1
        self.stamp = max(self.stamp + 1, self.wall_clock())
        command = Command(self.daemon, self.incarnation, self.counter, self.stamp, body)
        entry = self.pending[command.key] = PendingCommand(command, submissions, now)
        self._send(entry, now, plan)
        return entry

    def _retry(self, now: int, plan: Plan) -> None:
        self.pending = {key: entry for key, entry in self.pending.items() if entry.is_needed(now)}
        for entry in self.pending.values():
            if now - entry.sent_at >= RETRY_INTERVAL_US:
                self.unanswered_at[entry.sent_to] = now
                self._send(entry, now, plan)

    def _send(self, entry: PendingCommand, now: int, plan: Plan) -> None:
        self.unanswered_at = {
            address: timed_out_at
            for address, timed_out_at in self.unanswered_at.items()
            if now - timed_out_at < UNRESPONSIVE_STORE_PENALTY_US
        }
        addresses = self.store_addresses()
        if addresses:
            entry.sent_to = min(addresses, key=lambda address: self.unanswered_at.get(address, 0))
            plan.send(entry.sent_to, SubmitCommand(entry.command))
        entry.sent_at = now

    def _handle_answer(self, accepted: CommandAccepted, now: int, plan: Plan) -> None:
        entry = self.pending.pop(accepted.key)
        match decode_outcome(accepted.slot, accepted.results):
            case Barred(incarnation=incarnation):
                # An earlier run of this daemon had a later incarnation (its clock ran ahead). The
                # command was never applied, so it may be submitted as a new one.
                self._rise_above(incarnation)
                renewed = self._submit_new(entry.command.body, entry.submissions, now, plan)
                renewed.withdrawn_tokens = entry.withdrawn_tokens
            case SenderForgotten(incarnation=incarnation):
                # Whether the command was applied is not known, so it is not submitted again; later
                # ones go under an incarnation that the log accepts.
                self._rise_above(incarnation)
                _reply(entry, accepted.slot, None, plan)
            case Applied(results=results):
                _reply(entry, accepted.slot, results, plan)
            case _:
                _reply(entry, accepted.slot, None, plan)

    def _rise_above(self, incarnation: int) -> None:
        self.incarnation = max(self.incarnation, incarnation) + 1


def _command_body(submissions: tuple[Submission, ...]) -> str:
    operations = [
        encode_operation(operation)
        for submission in submissions
        for operation in submission.operations
    ]
    return json.dumps(operations, separators=(",", ":"))


def _reply(
    entry: PendingCommand, slot: int, results: tuple[Result, ...] | None, plan: Plan
) -> None:
    """Give each waiting caller the results of its own operations; None: they are not known."""
    start = 0
    for submission in entry.submissions:
        end = start + len(submission.operations)
        if entry.is_waited_for(submission):
            own_results = None if results is None else results[start:end]
            plan.replies.append((submission.token, SubmissionOutcome(slot, own_results)))
        start = end
