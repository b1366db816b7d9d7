"""Single attempts of a request: to a shield, or to an origin."""

from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.routing.attempt import AttemptHistory
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.origin_attempts import OriginAttempts
from willowpost.proxy.routing.request import FetchPlan, ForwardPlan, Request
from willowpost.proxy.routing.response_check import ResponseCheck
from willowpost.proxy.routing.sending import Sender
from willowpost.proxy.routing.shield_attempts import Shield, ShieldAttempts


class Attempts:
    """Makes single attempts; origins and shields share one sender.

    Args:
        resources: What attempts share.
    """

    def __init__(self, resources: AttemptResources) -> None:
        self.resources = resources
        response_check = ResponseCheck(resources.header_names)
        sender = Sender(resources, response_check)
        self.origin_attempts = OriginAttempts(resources, sender, response_check)
        self.shield_attempts = ShieldAttempts(resources, sender)

    def send_to_origin(
        self,
        request: Request,
        plan: ForwardPlan,
        body: RequestBody,
        deadline: int,
        history: AttemptHistory,
    ) -> OriginResponse:
        """Sends a request to an origin; see `OriginAttempts.send`."""
        return self.origin_attempts.send(request, plan, body, deadline, history)

    def send_to_shield(
        self,
        request: Request,
        plan: FetchPlan,
        shield: Shield,
        deadline: int,
        history: AttemptHistory,
        allowed: int,
    ) -> OriginResponse:
        """Sends a request to a shield; see `ShieldAttempts.send`."""
        return self.shield_attempts.send(request, plan, shield, deadline, history, allowed)
