"""Answers those who submitted: accepted means decided, and synced on n - f replicas."""

import json

from willowpost.common.events import Received
from willowpost.common.plan import Plan
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.apply import answer_of
from willowpost.wire.messages import Accepted, Submit

WAITING_MOST = 4096


class Acceptance:
    """Invariant.

    Accepted leaves only when n - f members hold every slot up to the command's on disk.
    """

    def __init__(self, node_state: ReplicaState):
        self.node_state = node_state
        self.waiting: dict[str, tuple] = {}  # key -> (command, source)

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        if isinstance(event, Received) and isinstance(event.message, Submit):
            if len(self.waiting) < WAITING_MOST:
                self.waiting[event.message.command.key] = (event.message.command, event.source)
        if self.waiting:
            self._answer(plan)
        return plan

    def _answer(self, plan):
        safe = self.node_state.safe()
        ready = [
            (command, source, answer)
            for command, source in self.waiting.values()
            for answer in (self._outcome(command),)
            if answer is not None and answer[0] < safe
        ]
        for command, source, (slot, answers) in ready:
            del self.waiting[command.key]
            plan.send(source, Accepted(command.key, slot, json.dumps(answers)))

    def _outcome(self, command):
        node_state = self.node_state
        if not node_state.is_decided(command):
            return None
        held = node_state.tables.seen.get(command.daemon)
        if held is None:
            return node_state.tables.slot - 1, {"forgotten": node_state.tables.seen_floor}
        if held["incarnation"] > command.incarnation:
            return node_state.tables.slot - 1, {"barred": held["incarnation"]}
        return answer_of(node_state.tables, command) or (node_state.tables.slot - 1, None)
