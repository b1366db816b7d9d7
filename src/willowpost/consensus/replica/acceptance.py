"""Answers submitters: accepted means decided, and synced to disk on n - f voters."""

import json
from dataclasses import dataclass

from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.apply import recorded_results
from willowpost.state.codec import encode_results
from willowpost.wire.messages import Command, CommandAccepted, SubmitCommand

WAITING_MOST = 4096


@dataclass(frozen=True, slots=True)
class Waiting:
    """A command that was submitted here, and the address that wants its answer."""

    command: Command
    source: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the log says of a command.

    Attributes:
        slot: the answer may leave once this slot is synced on n - f voters.
        answers: one per operation; None if they are not kept any more; a mapping with `barred` if
            a later incarnation of the sender barred the command, or with `forgotten` if the log no
            longer knows the sender and its incarnation is not above the one named there.
    """

    slot: int
    answers: list | dict | None


class Acceptance:
    """Sends `CommandAccepted` once n - f voters hold every slot up to the command's on disk.

    See `ReplicaState.safe`. At most WAITING_MOST submissions wait at once; further ones get no
    answer.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.waiting: dict[str, Waiting] = {}  # by the command's key

    def step(self, event, now: int) -> Plan:
        """Record a `SubmitCommand`, then answer every command whose slot is safe."""
        plan = Plan()
        match event:
            case Received(source, SubmitCommand(command)) if len(self.waiting) < WAITING_MOST:
                self.waiting[command.key] = Waiting(command, source)
        if self.waiting:
            self._answer(plan)
        return plan

    def _answer(self, plan):
        safe = self.node_state.safe_slot()
        for key, waiting in tuple(self.waiting.items()):
            outcome = self._outcome(waiting.command)
            if outcome is None or outcome.slot >= safe:
                continue
            del self.waiting[key]
            plan.send(
                waiting.source, CommandAccepted(key, outcome.slot, json.dumps(outcome.answers))
            )

    def _outcome(self, command) -> Outcome | None:
        """Return what the log says of the command; None while it is not decided."""
        node_state = self.node_state
        if not node_state.is_decided(command):
            return None
        newest_slot = node_state.tables.slot - 1
        history = node_state.tables.command_histories.get(command.daemon)
        if history is None:
            return Outcome(newest_slot, {"forgotten": node_state.tables.forgotten_incarnation})
        if history.incarnation > command.incarnation:
            return Outcome(newest_slot, {"barred": history.incarnation})
        recorded = recorded_results(node_state.tables, command)
        if recorded is None:
            return Outcome(newest_slot, None)
        return Outcome(recorded.slot, encode_results(recorded.results))
