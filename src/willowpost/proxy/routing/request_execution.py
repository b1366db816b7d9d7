"""Plans a request and carries the plan out; both by the configuration in force."""

from collections import Counter
from collections.abc import Callable

from willowpost.proxy.request_body import NO_BODY, RequestBody
from willowpost.proxy.routing.attempt import RouteChangedError
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.plan_executor import PlanExecutor
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.request import Request, RequestPlan


def _accept(plan: RequestPlan) -> None:
    """Accepts any plan."""


class RequestExecution:
    """Plans requests and executes the plans, anew if the route changes before one is sent.

    Args:
        planner: Makes the plans.
        executor: Carries them out.
        stats: Counters by name.
    """

    def __init__(
        self, planner: RequestPlanner, executor: PlanExecutor, stats: Counter[str]
    ) -> None:
        self.planner, self.executor, self.stats = planner, executor, stats

    def run(
        self,
        request: Request,
        body: RequestBody = NO_BODY,
        check: Callable[[RequestPlan], None] = _accept,
    ) -> Outcome:
        """Returns the outcome of a request.

        Args:
            request: The request.
            body: The request's body.
            check: Called with each plan before it is carried out; may raise RequestRejectedError.

        Raises:
            RequestRejectedError: The caller gets an error reply.
        """
        while True:
            plan = self.planner.plan(request)
            check(plan)
            try:
                return self.executor.execute(request, plan, body)
            except RouteChangedError:
                # Nothing of it was sent; each turn needs another change.
                self.stats["replanned"] += 1
