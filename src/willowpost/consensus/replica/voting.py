"""Algorithm 1 of Rabia: decides one slot after the other by Weak-MVC, without a leader."""

from typing import Any

from willowpost.common.clock import SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.ballot_exchange import BallotExchange
from willowpost.consensus.replica.barrier import is_passed
from willowpost.consensus.replica.record_types import BarrierPassedRecord
from willowpost.consensus.replica.records import encode_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.weakmvc import Verdict, WeakMvc, agreed_proposal
from willowpost.wire.messages import (
    BallotState,
    CatchupRequest,
    CatchupResponse,
    Command,
    Decision,
    ForwardCommand,
    SubmitCommand,
)

EXPIRY_INTERVAL_US = SECOND // 2


class Voting:
    """Proposes commands, votes on the open slot and commits its decision."""

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.mvc = WeakMvc()
        self.exchange = BallotExchange(node_state)
        self.body_requested_at = 0  # µs, own clock, as all below
        self.expired_at = 0

    def step(self, event: Any, now: int) -> Plan:
        """Take in commands and ballot states, then go as far as the received ones allow."""
        plan = Plan()
        match event:
            case Received(_, BallotState() as ballot_state):
                self._receive_ballot_state(ballot_state, now)
            case Received(_, ForwardCommand(command)):
                self._enqueue(command, now)
            case Received(_, SubmitCommand(command)):
                self._enqueue_and_forward(command, now, plan)
            case Received(_, CatchupResponse(command=command)) if command is not None:
                self._enqueue(command, now)
            case Tick():
                self._expire_commands(now, plan)
                self.exchange.resend_if_due(now, plan)
        while self.node_state.is_voter and self._advance(now, plan):
            pass
        return plan

    # What others send

    def _enqueue(self, command: Command, now: int) -> bool:
        """Queue or renew a command; whether other replicas should be told of it."""
        node_state = self.node_state
        return not node_state.is_decided(command) and node_state.pending_commands.push(command, now)

    def _enqueue_and_forward(self, command: Command, now: int, plan: Plan) -> None:
        """Queue a client's command, and forward it the first time (Algorithm 1, lines 8-9).

        One that is submitted for long is forwarded again, so that it expires nowhere.
        """
        if self._enqueue(command, now):
            forward = ForwardCommand(command)
            plan.sends += [(address, forward) for address in self.node_state.other_addresses()]

    def _expire_commands(self, now: int, plan: Plan) -> None:
        """Drop the commands that nobody needs any more."""
        if now - self.expired_at < EXPIRY_INTERVAL_US:
            return
        self.expired_at = now
        expired = self.node_state.pending_commands.expire(now)
        if expired:
            self.node_state.statistics.expired += expired
            plan.log("voting", "commands expired", commands=expired)

    def _receive_ballot_state(self, ballot_state: BallotState, now: int) -> None:
        """Record a ballot state; its command is queued, so that this replica proposes the same."""
        if ballot_state.command is not None:
            self._enqueue(ballot_state.command, now)
        self.exchange.record(ballot_state, now)

    # The open slot

    def _advance(self, now: int, plan: Plan) -> bool:
        """Take one step in the open slot; False if more must be received first."""
        node_state = self.node_state
        own = node_state.own_ballot_state
        if own is None:
            return self._propose(now, plan)
        result = self.mvc.step(own, node_state.ballot_states, node_state.quorum_sizes)
        if result is None:
            return False
        if isinstance(result, Verdict):
            return self._decide(result, own, now, plan)
        self.exchange.adopt(result, now, plan, is_first=False)
        return True

    def _propose(self, now: int, plan: Plan) -> bool:
        """Propose the oldest pending command (Algorithm 1, lines 1-2); False if it must wait.

        Without one, and once others have proposed for `resend_interval_us`, nothing is proposed: an
        empty proposal never makes a majority, but lets the slot end.
        """
        node_state, tuning = self.node_state, self.node_state.tuning
        if not self._open_slot(plan):
            return False
        command = node_state.pending_commands.head(node_state.is_decided)
        others = self._ballot_states_of_others()
        if command is None:
            if not others:
                return False
            if now - node_state.ballot_states_since < tuning.resend_interval_us:
                self._request_proposed_body(others, now, plan)
                return False
        elif not others:
            queued_at = node_state.pending_commands.queued_at(command.key)
            if queued_at is not None and now - queued_at < tuning.proposal_delay_us:
                return False
        self.exchange.adopt(self._proposal_of(command), now, plan, is_first=True)
        return True

    def _proposal_of(self, command: Command | None) -> BallotState:
        node_state = self.node_state
        return BallotState(
            node_state.member.identity,
            node_state.tables.epoch,
            node_state.tables.slot,
            command.key if command else "",
            command,
        )

    def _ballot_states_of_others(self) -> list[BallotState]:
        node_state = self.node_state
        return [
            ballot_state
            for identity, ballot_state in node_state.ballot_states.items()
            if identity != node_state.member.identity
        ]

    def _open_slot(self, plan: Plan) -> bool:
        """Whether the slot may be voted on: its epoch's barrier is passed, and recorded on disk.

        See `consensus/replica/barrier.py`.
        """
        node_state = self.node_state
        if not is_passed(node_state):
            return False
        tables = node_state.tables
        is_first_slot = (
            tables.previous_voters is not None and tables.slot == tables.epoch_first_slot()
        )
        if is_first_slot and node_state.passed_epoch < tables.epoch:
            node_state.passed_epoch = tables.epoch
            plan.records.append(encode_record(BarrierPassedRecord(tables.epoch)))
        return True

    # The decision

    def _decide(self, verdict: Verdict, own: BallotState, now: int, plan: Plan) -> bool:
        """Commit the slot's decision; False while the command's key or body is unknown."""
        node_state = self.node_state
        key = self._decided_key(verdict, own)
        if key is None:
            return False
        command = self._body_of(key, own) if key else None
        if key and command is None:
            self._request_body(key, now, plan)
            return False
        node_state.statistics.count_verdict(verdict.phase)
        queued_at = node_state.pending_commands.queued_at(key)
        if queued_at is not None:
            node_state.statistics.decided_ages.add(now - queued_at)
        node_state.commit(Decision(node_state.tables.slot, key, command), plan)
        node_state.ballot_states_since = now
        return True

    def _decided_key(self, verdict: Verdict, own: BallotState) -> str | None:
        """Return the decided key (Algorithm 3): "" for a 0, None while the proposal is unknown."""
        node_state = self.node_state
        if not verdict.value:
            return ""
        return own.agreed or agreed_proposal(node_state.ballot_states, node_state.quorum_sizes)

    def _body_of(self, key: str, own: BallotState) -> Command | None:
        command = self.node_state.pending_commands.get(key)
        if command is None and own.proposal == key:
            return own.command
        return command

    # Bodies of commands

    def _request_proposed_body(self, others: list[BallotState], now: int, plan: Plan) -> None:
        """Request the body of a command that others propose, so it can be proposed here too."""
        keys = [ballot_state.proposal for ballot_state in others if ballot_state.proposal]
        if keys:
            self._request_body(keys[0], now, plan)

    def _request_body(self, key: str, now: int, plan: Plan) -> None:
        """Request a command's body from all other voters, at most twice per resend interval."""
        if now - self.body_requested_at < self.node_state.tuning.resend_interval_us // 2:
            return
        self.body_requested_at = now
        request = CatchupRequest(self.node_state.tables.slot, key)
        plan.sends += [(address, request) for address in self.node_state.other_addresses()]
