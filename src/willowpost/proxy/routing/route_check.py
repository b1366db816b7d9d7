"""Whether a request's plan still fits the configuration in force."""

from willowpost.proxy.routing.request import ForwardPlan, Request, kind_of
from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.proxy.routing.traffic_split import possible_services


def is_plan_in_force(plan: ForwardPlan, request: Request, snapshot: RoutingSnapshot) -> bool:
    """Whether the request may be sent as planned, by the configuration of this snapshot.

    It may if its route still leads to the planned service, with the same kind and regions. A shield
    sends what edges have judged by their own configuration.

    Args:
        plan: What the request was planned to.
        request: The request.
        snapshot: The routing data of this moment.
    """
    if plan.version == snapshot.version or request.is_from_edge:
        return True
    route = snapshot.routes.find(request.host, request.path)
    if route is None or (route.kind is None and request.method not in route.methods):
        return False
    return (
        plan.service in possible_services(route)
        and kind_of(route, request) == kind_of(plan.route, request)
        and route.homes == plan.route.homes
    )
