"""Submits this daemon's operations to the log: batches, stamps, submits, retries, answers."""

import json
from dataclasses import dataclass, field

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick, WithdrawSubmission
from willowpost.common.plan import Plan
from willowpost.state.codec import decode_results, encode_operation
from willowpost.state.results import Result
from willowpost.wire.messages import Command, CommandAccepted, SubmitCommand

BATCH_WAIT = 5 * MILLI
BATCH_MOST = 20
RETRY_AFTER = 400 * MILLI
# a store that left a submission unanswered is tried last for so long
AVOID_FOR = 5 * SECOND


@dataclass(frozen=True, slots=True)
class SubmissionOutcome:
    """What the log made of the operations of one caller.

    Attributes:
        slot: that decided them, or a later one if that is not known.
        results: one for each operation; None if they are not known.
    """

    slot: int
    results: tuple[Result, ...] | None


@dataclass(frozen=True, slots=True)
class Request:
    """Operations that one caller in this process asked for.

    Attributes:
        token: under which the caller waits for the outcome; None if nobody waits.
        operations: in the order in which the log is to apply them.
        expires_at: µs, own clock; from then on nobody needs the operations. None: always needed.
    """

    token: object
    operations: tuple
    expires_at: int | None = None

    @property
    def lasting(self) -> bool:
        """Whether it is submitted again until the log answers, however long that takes."""
        return self.token is None and self.expires_at is None

    def needed(self, now: int) -> bool:
        """Whether the operations have not expired at `now` (µs, own clock)."""
        return self.expires_at is None or now < self.expires_at


@dataclass(slots=True)
class PendingCommand:
    """A stamped command without an answer yet.

    Attributes:
        command: what is submitted.
        requests: those that the command was made of.
        sent_at: when it was last submitted; µs, own clock.
        sent_to: address of the store it was last submitted to; empty: none was known.
        withdrawn: tokens of the requests whose callers have withdrawn.
    """

    command: Command
    requests: tuple[Request, ...]
    sent_at: int
    sent_to: str = ""
    withdrawn: set = field(default_factory=set)

    def waiting(self) -> list:
        """Return the tokens of the callers that still wait."""
        return [
            request.token
            for request in self.requests
            if request.token is not None and request.token not in self.withdrawn
        ]

    def needed(self, now: int) -> bool:
        """Whether a request of it is neither withdrawn nor expired at `now`."""
        return any(
            request.token not in self.withdrawn and request.needed(now) for request in self.requests
        )


class CommandClient:
    """Submits commands to the stores until they are answered or nobody needs them any more.

    A command is submitted again under the same key. A stamp is greater than every stamp given
    before it here. No command is submitted again once every caller that waited for it has
    withdrawn, or its operations have expired. Operations that nobody waits for and that do not
    expire never share a command with others, so that they do not keep those alive.
    """

    def __init__(self, daemon: str, incarnation: int, cores, wall):
        self.daemon = daemon
        self.incarnation = incarnation
        self.cores = cores  # () -> addresses of stores, nearest first
        self.wall = wall  # () -> µs of the wall clock, which may jump
        self.counter = 0
        self.stamp = 0
        self.gathered: list[Request] = []
        self.gathered_at = 0
        self.pending: dict[str, PendingCommand] = {}
        self.unanswered_at: dict[str, int] = {}  # address of a store -> when it was given up

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        `SubmitOperations` adds operations to the batch, `WithdrawSubmission` ends a caller's wait,
        `CommandAccepted` answers the callers of a command, and a tick resubmits what has waited for
        RETRY_AFTER. A batch is submitted when it holds BATCH_MOST operations or is BATCH_WAIT old.

        Returns:
            The submissions; replies are `SubmissionOutcome`.
        """
        plan = Plan()
        match event:
            case SubmitOperations() as asked:
                self._gather(asked, now)
            case WithdrawSubmission(token):
                self._withdraw(token)
            case Received(source, CommandAccepted() as accepted):
                self.unanswered_at.pop(source, None)
                if accepted.key in self.pending:
                    self._settle(accepted, now, plan)
        if self.gathered and (self._full() or now - self.gathered_at >= BATCH_WAIT):
            self._stamp(now, plan)
        if isinstance(event, Tick):
            self._retry(now, plan)
        return plan

    def waiting(self) -> int:
        """Return how many callers in this process wait for an outcome."""
        gathered = sum(request.token is not None for request in self.gathered)
        return gathered + sum(len(entry.waiting()) for entry in self.pending.values())

    def _gather(self, asked, now):
        if not self.gathered:
            self.gathered_at = now
        expires_at = None if asked.lifetime is None else now + asked.lifetime
        self.gathered.append(Request(asked.token, asked.operations, expires_at))

    def _full(self):
        return sum(len(request.operations) for request in self.gathered) >= BATCH_MOST

    def _withdraw(self, token):
        self.gathered = [request for request in self.gathered if request.token != token]
        for entry in self.pending.values():
            if token in entry.waiting():
                entry.withdrawn.add(token)

    def _stamp(self, now, plan):
        gathered, self.gathered = self.gathered, []
        for lasting in (True, False):
            requests = tuple(request for request in gathered if request.lasting is lasting)
            if requests:
                operations = [
                    encode_operation(operation)
                    for request in requests
                    for operation in request.operations
                ]
                self._open(json.dumps(operations, separators=(",", ":")), requests, now, plan)

    def _open(self, body, requests, now, plan):
        self.counter += 1
        self.stamp = max(self.stamp + 1, self.wall())
        command = Command(self.daemon, self.incarnation, self.counter, self.stamp, body)
        entry = self.pending[command.key] = PendingCommand(command, requests, now)
        self._submit(entry, now, plan)
        return entry

    def _retry(self, now, plan):
        self.pending = {key: entry for key, entry in self.pending.items() if entry.needed(now)}
        for entry in self.pending.values():
            if now - entry.sent_at >= RETRY_AFTER:
                self.unanswered_at[entry.sent_to] = now
                self._submit(entry, now, plan)

    def _submit(self, entry, now, plan):
        self.unanswered_at = {
            address: moment
            for address, moment in self.unanswered_at.items()
            if now - moment < AVOID_FOR
        }
        cores = self.cores()
        if cores:
            entry.sent_to = min(cores, key=lambda address: self.unanswered_at.get(address, 0))
            plan.send(entry.sent_to, SubmitCommand(entry.command))
        entry.sent_at = now

    def _settle(self, accepted, now, plan):
        entry = self.pending.pop(accepted.key)
        answers = json.loads(accepted.answers)
        if isinstance(answers, dict) and "forgotten" in answers:
            # The log let go of what it knew of this daemon: whether the command ran is not known,
            # so it is not brought in again; later ones go under an incarnation that may run.
            self.incarnation = max(self.incarnation, answers["forgotten"]) + 1
            answers = None
        elif isinstance(answers, dict):
            # An earlier run of this daemon had a later incarnation (its clock ran ahead): the
            # command was barred, so it never ran and may be stamped anew.
            self.incarnation = max(self.incarnation, answers["barred"]) + 1
            renewed = self._open(entry.command.body, entry.requests, now, plan)
            renewed.withdrawn = entry.withdrawn
            return
        start = 0
        for request in entry.requests:
            end = start + len(request.operations)
            if request.token is not None and request.token not in entry.withdrawn:
                results = None if answers is None else decode_results(answers[start:end])
                plan.replies.append((request.token, SubmissionOutcome(accepted.slot, results)))
            start = end
