"""Brings this daemon's ops into the log: stamps, batches, submits, resubmits elsewhere, answers."""

import json

from willowpost.common.clock import MILLI
from willowpost.common.events import Asked, Received, Tick
from willowpost.common.plan import Plan
from willowpost.wire.messages import Accepted, Command, Submit

BATCH_WAIT = 5 * MILLI
BATCH_MOST = 20
RETRY_AFTER = 400 * MILLI


class CommandClient:
    """Invariants: a command is resubmitted under the same key until it is answered.

    A stamp is greater than every stamp given before it here.
    """

    def __init__(self, daemon: str, incarnation: int, cores, wall):
        self.daemon = daemon
        self.incarnation = incarnation
        self.cores = cores  # () -> addresses of stores, nearest first
        self.wall = wall  # () -> µs of the wall clock, which may jump
        self.counter = 0
        self.stamp = 0
        self.gathered: list[tuple] = []
        self.gathered_at = 0
        self.pending: dict[str, list] = {}  # key -> [command, tokens, sent_at, tries]

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Asked(token, ops):
                self.gathered_at = now if not self.gathered else self.gathered_at
                self.gathered.append((token, ops))
            case Received(_, Accepted() as accepted) if accepted.key in self.pending:
                self._settle(accepted, now, plan)
        full = sum(len(ops) for _, ops in self.gathered) >= BATCH_MOST
        if self.gathered and (full or now - self.gathered_at >= BATCH_WAIT):
            self._stamp(now, plan)
        if isinstance(event, Tick):
            for entry in self.pending.values():
                if now - entry[2] >= RETRY_AFTER:
                    self._submit(entry, now, plan)
        return plan

    def _stamp(self, now, plan):
        gathered, self.gathered = self.gathered, []
        body = json.dumps([op for _, ops in gathered for op in ops], separators=(",", ":"))
        tokens = [(token, len(ops)) for token, ops in gathered]
        self._open(body, tokens, now, plan)

    def _open(self, body, tokens, now, plan):
        self.counter += 1
        self.stamp = max(self.stamp + 1, self.wall())
        command = Command(self.daemon, self.incarnation, self.counter, self.stamp, body)
        entry = self.pending[command.key] = [command, tokens, now, 0]
        self._submit(entry, now, plan)

    def _submit(self, entry, now, plan):
        cores = self.cores()
        if cores:
            plan.send(cores[entry[3] % len(cores)], Submit(entry[0]))
        entry[2], entry[3] = now, entry[3] + 1

    def _settle(self, accepted, now, plan):
        command, tokens, *_ = self.pending.pop(accepted.key)
        answers = json.loads(accepted.answers)
        if isinstance(answers, dict):
            # A former life of this daemon had a later incarnation (its clock ran ahead): the
            # command was barred, so it never ran and may be stamped anew.
            self.incarnation = max(self.incarnation, answers["barred"]) + 1
            self._open(command.body, tokens, now, plan)
            return
        start = 0
        for token, count in tokens:
            if token is not None:
                plan.replies.append(
                    (
                        token,
                        {
                            "slot": accepted.slot,
                            "answers": None if answers is None else answers[start : start + count],
                        },
                    )
                )
            start += count
