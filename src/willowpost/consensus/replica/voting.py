"""Algorithm 1: decides one slot after the other by Weak-MVC, without a leader."""

from dataclasses import replace

from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.barrier import first_slot, is_passed
from willowpost.consensus.replica.records import ballot_state_record, passed_record
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

EARLY_MOST = 64


class Voting:
    """Proposes commands and votes.

    A ballot state is sent only in the plan that first writes it to disk, or in a later one.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.mvc = WeakMvc()
        self.sent_at = 0
        self.asked_at = 0

    def step(self, event, now: int) -> Plan:
        """Take in commands and ballot states, then go as far as the received ones allow."""
        plan = Plan()
        match event:
            case Received(_, BallotState() as ballot_state):
                self._hear(event.source, ballot_state, now, plan)
            case Received(_, ForwardCommand(command)) | Received(_, SubmitCommand(command)):
                self._pend(event, command, now, plan)
            case Received(_, CatchupResponse(command=command)) if (
                command is not None and not self.node_state.is_decided(command)
            ):
                self.node_state.pending_commands.push(command, now)
            case Tick():
                self._resend(now, plan)
        self._pump(now, plan)
        return plan

    def _pend(self, event, command, now, plan):
        node_state = self.node_state
        if node_state.is_decided(command) or not node_state.pending_commands.push(command, now):
            return
        if isinstance(event.message, SubmitCommand):
            plan.sends += [
                (address, ForwardCommand(command)) for address in node_state.other_addresses()
            ]

    def _hear(self, source, ballot_state, now, plan):
        node_state, slot = self.node_state, self.node_state.tables.slot
        if ballot_state.command is not None and not node_state.is_decided(ballot_state.command):
            node_state.pending_commands.push(ballot_state.command, now)
        if ballot_state.identity in node_state.voter_addresses:
            node_state.record_synced_index(ballot_state.identity, ballot_state.slot)
        if ballot_state.slot > slot and ballot_state.slot < slot + EARLY_MOST:
            self._merge(
                node_state.early_ballot_states.setdefault(ballot_state.slot, {}), ballot_state
            )
        elif (
            ballot_state.slot == slot
            and ballot_state.identity in node_state.voter_addresses
            and ballot_state.epoch == node_state.tables.epoch
        ):
            if not node_state.ballot_states:
                node_state.ballot_states_since = now
            self._merge(node_state.ballot_states, ballot_state)

    def _merge(self, held, ballot_state):
        known = held.get(ballot_state.identity)
        if known is None or len(ballot_state.states) + len(ballot_state.votes) > len(
            known.states
        ) + len(known.votes):
            held[ballot_state.identity] = replace(ballot_state, command=None)

    def _pump(self, now, plan):
        while self.node_state.is_voter and self._advance(now, plan):
            pass

    def _advance(self, now, plan) -> bool:
        node_state = self.node_state
        if node_state.own_ballot_state is None:
            return self._propose(now, plan)
        moved = self.mvc.step(
            node_state.own_ballot_state, node_state.ballot_states, node_state.quorum_sizes
        )
        if isinstance(moved, Verdict):
            return self._decide(moved, node_state.own_ballot_state, now, plan)
        if moved is None:
            return False
        self._stand(moved, now, plan, first=False)
        return True

    def _propose(self, now, plan) -> bool:
        node_state = self.node_state
        if not self._opened(plan):
            return False
        head = node_state.pending_commands.head(node_state.is_decided)
        strangers = [
            ballot_state
            for identity, ballot_state in node_state.ballot_states.items()
            if identity != node_state.member.identity
        ]
        if head is None and not strangers:
            return False
        if head is None and now - node_state.ballot_states_since < node_state.tuning.resend:
            self._fetch(strangers, now, plan)
            return False
        if (
            head is not None
            and not strangers
            and now - node_state.pending_commands.since[head.key] < node_state.tuning.freeze
        ):
            return False
        ballot_state = BallotState(
            node_state.member.identity,
            node_state.tables.epoch,
            node_state.tables.slot,
            head.key if head else "",
            head,
        )
        self._stand(ballot_state, now, plan, first=True)
        return True

    def _fetch(self, strangers, now, plan):
        """Ask for the body of a command that others propose, so it can be proposed here too."""
        key = next(
            (ballot_state.proposal for ballot_state in strangers if ballot_state.proposal), ""
        )
        if key:
            self._ask_for_body(key, now, plan)

    def _ask_for_body(self, key, now, plan):
        """Ask all other voters for a command's body, at most twice per `pace.resend`."""
        if now - self.asked_at < self.node_state.tuning.resend // 2:
            return
        self.asked_at = now
        question = CatchupRequest(self.node_state.tables.slot, key)
        plan.sends += [(address, question) for address in self.node_state.other_addresses()]

    def _opened(self, plan) -> bool:
        """Whether the slot may be voted on: its epoch's barrier is passed, and recorded on disk.

        See `consensus/replica/barrier.py`.
        """
        node_state = self.node_state
        if not is_passed(node_state):
            return False
        tables = node_state.tables
        begins = tables.previous_voters is not None and tables.slot == first_slot(tables)
        if begins and node_state.passed_epoch < tables.epoch:
            node_state.passed_epoch = tables.epoch
            plan.records.append(passed_record(tables.epoch))
        return True

    def _stand(self, ballot_state, now, plan, first):
        node_state = self.node_state
        node_state.own_ballot_state = ballot_state
        node_state.ballot_states[node_state.member.identity] = replace(ballot_state, command=None)
        plan.records.append(ballot_state_record(ballot_state, first))
        self._say(ballot_state if first else replace(ballot_state, command=None), now, plan)

    def _say(self, ballot_state, now, plan):
        """Send the ballot state to all others, in place of an earlier one of this plan and slot.

        The earlier one may carry the command's body, which is then sent with this one.
        """
        self.sent_at = now
        earlier = [
            sent
            for _, sent in plan.sends
            if isinstance(sent, BallotState) and sent.slot == ballot_state.slot
        ]
        body = next((sent.command for sent in earlier if sent.command), ballot_state.command)
        plan.sends = [
            (address, sent)
            for address, sent in plan.sends
            if not isinstance(sent, BallotState) or sent.slot != ballot_state.slot
        ]
        newest = replace(ballot_state, command=body)
        plan.sends += [(address, newest) for address in self.node_state.other_addresses()]

    def _decide(self, verdict: Verdict, own: BallotState, now, plan) -> bool:
        """Commit the slot's decision; False while the command's key or body is unknown."""
        node_state = self.node_state
        key = self._decided_key(verdict, own)
        if key is None:
            return False
        command = self._body_of(key, own) if key else None
        if key and command is None:
            self._ask_for_body(key, now, plan)
            return False
        self._count(verdict)
        node_state.commit(Decision(node_state.tables.slot, key, command), plan)
        node_state.ballot_states_since = now
        return True

    def _decided_key(self, verdict: Verdict, own: BallotState) -> str | None:
        """Return the decided key: "" for a 0, None while the proposal is unknown."""
        node_state = self.node_state
        if not verdict.value:
            return ""
        return own.agreed or agreed_proposal(node_state.ballot_states, node_state.quorum_sizes)

    def _body_of(self, key: str, own: BallotState) -> Command | None:
        command = self.node_state.pending_commands.commands.get(key)
        if command is None and own.proposal == key:
            return own.command
        return command

    def _count(self, verdict):
        stats = self.node_state.stats
        stats["voted"] += 1
        stats["fast"] += verdict.phase == 1
        stats["phases"] += verdict.phase

    def _resend(self, now, plan):
        node_state = self.node_state
        if (
            node_state.own_ballot_state is not None
            and node_state.is_voter
            and now - self.sent_at >= node_state.tuning.resend
        ):
            self.sent_at = now
            plan.sends += [
                (address, replace(node_state.own_ballot_state, again=True))
                for address in node_state.other_addresses()
            ]
