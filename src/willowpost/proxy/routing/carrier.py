"""Carries out the plan of a request."""

from dataclasses import replace

from willowpost.proxy.cache.ranges import PartMaker
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.routing.attempt import Rejected
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.reads import Reads
from willowpost.proxy.routing.request import CachePlan, FetchPlan, RejectPlan, Request, WritePlan
from willowpost.proxy.routing.tries import Tries
from willowpost.proxy.routing.writes import Writes


class Carrier:
    """Carries out plans; a stored response is sent only under a lease that holds at that moment."""

    def __init__(self, node_state, cache, clock, tries: Tries, stats):
        self.node_state, self.clock, self.stats = node_state, clock, stats
        self.tries = tries
        self.parts = PartMaker(tries.words.seal)
        reads, writes = Reads(cache, clock, tries, stats), Writes(clock, tries)
        self.kinds = {
            RejectPlan: self._reject,
            CachePlan: self._hit,
            WritePlan: writes.carry,
            FetchPlan: reads.carry,
        }

    def carry(self, request: Request, plan, body: bytes = b"") -> Outcome:
        """The outcome of a plan that the planner made for this request.

        Args:
            request: The request.
            plan: A RejectPlan, CachePlan, FetchPlan or WritePlan.
            body: The request's body.

        Raises:
            Rejected: The caller gets an error reply.
        """
        outcome = self.kinds[type(plan)](request, plan, body)
        # the body or a joined fetch may have taken long, or the process was frozen: the lease must
        # still hold before a stored response is sent
        if outcome.source == "hit" and not self.node_state.may_serve(self.clock.now()):
            raise Rejected(503, "no fresh state updates from the core", 2)
        part = getattr(plan, "part", None)
        if part is not None and outcome.answer.status == 200 and outcome.answer.rest is None:
            return replace(outcome, answer=self.parts.make(outcome.answer, part))
        return outcome

    def _reject(self, request, plan, body):
        raise Rejected(plan.code, plan.reason, plan.after)

    def _hit(self, request, plan, body):
        entry = plan.entry
        self.stats["hits"] += 1
        return Outcome(
            WholeAnswer(entry.status, list(entry.headers), entry.body),
            "hit",
            entry.age(self.clock.now()),
            entry.slot,
        )
