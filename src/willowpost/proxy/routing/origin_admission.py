"""Selects the origin for an attempt: ranked, with a free connection, admitted by all rates."""

from dataclasses import dataclass

from willowpost.configuration.routes import Route
from willowpost.proxy.admission.admission_decision import AdmissionDecision
from willowpost.proxy.origin.pick import HEAVY
from willowpost.proxy.routing.attempt import (
    RETRY_SOON_SECONDS,
    AttemptHistory,
    RequestRejectedError,
)
from willowpost.proxy.routing.attempt_resources import AttemptResources
from willowpost.proxy.routing.request import ForwardPlan
from willowpost.proxy.routing.response_sizes import ResponseSizes
from willowpost.proxy.routing.snapshot import RoutableOrigin, RoutableService

RETRY_LATER_SECONDS = 2 * RETRY_SOON_SECONDS


class NoRetryLeftError(RequestRejectedError):
    """A further attempt would be a retry, and the budget has none left."""

    def __init__(self) -> None:
        super().__init__(503, "no extra try left", RETRY_LATER_SECONDS)


@dataclass(frozen=True, slots=True)
class AdmittedOrigin:
    """An origin that an attempt may be sent to now.

    Attributes:
        origin: The origin.
        service: Its service.
        max_connections: The most connections that this proxy may have open to it, or None.
    """

    origin: RoutableOrigin
    service: RoutableService
    max_connections: int | None


class OriginAdmission:
    """Selects the origin for an attempt and takes its admission.

    Args:
        resources: State, admission and connections.
        sizes: The sizes of the routes' responses.
    """

    def __init__(self, resources: AttemptResources, sizes: ResponseSizes) -> None:
        self.resources = resources
        self.sizes = sizes

    def select(self, plan: ForwardPlan, history: AttemptHistory) -> AdmittedOrigin:
        """Selects the origin for the next attempt and takes its admission.

        Raises:
            RequestRejectedError: No origin may be tried now.
        """
        resources = self.resources
        now = resources.clock.now()
        service_name = plan.service or plan.route.service
        service = resources.node_state.snapshot.services.get(service_name)
        if service is None:
            raise _no_origin_in_force(history)
        candidates = self._rank(plan.route, service, history, now)
        if not candidates:
            raise _no_origin_in_force(history)
        if history.may_have_reached_origin and not resources.retry_budget.has_retry_left(
            now, plan.service
        ):
            raise NoRetryLeftError
        max_connections = self._max_connections(service)
        candidates = self._with_free_connection(
            self._warmed_up_first(candidates, service, now), max_connections
        )
        origin = self._admit_to_origin(candidates, service, plan.service, now)
        if not self._is_granted(resources.quota_admission.admit(service_name, now), service_name):
            raise RequestRejectedError(503, "no share of the allowance left", RETRY_LATER_SECONDS)
        return AdmittedOrigin(origin, service, max_connections)

    def _rank(
        self, route: Route, service: RoutableService, history: AttemptHistory, now: int
    ) -> list[RoutableOrigin]:
        """Returns the origins that may be tried, best first."""
        candidates: list[RoutableOrigin] = self.resources.origin_selector.pick(
            service.origins,
            self._allowed_zones(route),
            history.tried_origins,
            now,
            self.sizes.of(route.name) > HEAVY,
        )
        return candidates

    def _allowed_zones(self, route: Route) -> set[str] | tuple[str, ...] | None:
        """Returns the zones whose origins may serve the route; None for all."""
        regions = self.resources.regions
        if not (route.homes and regions):
            return route.zones
        home_zones = {zone for zone, region in regions.items() if region in route.homes}
        return home_zones if route.zones is None else home_zones & set(route.zones)

    def _warmed_up_first(
        self, candidates: list[RoutableOrigin], service: RoutableService, now: int
    ) -> list[RoutableOrigin]:
        slow_start = self.resources.slow_start
        warmed_up = [
            origin for origin in candidates if not slow_start.is_warming_up(origin, service, now)
        ]
        return warmed_up + [origin for origin in candidates if origin not in warmed_up]

    def _max_connections(self, service: RoutableService) -> int | None:
        """Returns this proxy's share of the connections to one origin; None for no limit."""
        if service.max_connections is None:
            return None
        proxy_count = max(1, self.resources.node_state.proxy_count())
        return max(1, service.max_connections // proxy_count)

    def _with_free_connection(
        self, candidates: list[RoutableOrigin], max_connections: int | None
    ) -> list[RoutableOrigin]:
        """Returns the candidates to which a connection may be had.

        Raises:
            RequestRejectedError: There is none.
        """
        if max_connections is None:
            return candidates
        resources = self.resources
        available = [
            origin for origin in candidates if resources.io.room(origin.name, max_connections)
        ]
        if not available:
            raise RequestRejectedError(503, "no connection left", RETRY_SOON_SECONDS)
        return available

    def _admit_to_origin(
        self,
        candidates: list[RoutableOrigin],
        service: RoutableService,
        service_name: str,
        now: int,
    ) -> RoutableOrigin:
        """Returns the first candidate that slow start admits to.

        Raises:
            RequestRejectedError: All of them warm up and take no more requests now.
        """
        for origin in candidates:
            decision = self.resources.slow_start.admit(origin, service, now)
            if self._is_granted(decision, service_name, origin.name):
                return origin
        raise RequestRejectedError(503, "the origins are still cold", RETRY_LATER_SECONDS)

    def _is_granted(
        self, decision: AdmissionDecision, service_name: str, origin_name: str = ""
    ) -> bool:
        """Whether the attempt is admitted; requests an admission token if it needs one."""
        if decision is AdmissionDecision.NEEDS_TOKEN:
            return self.resources.io.token(service_name, origin_name)
        return decision is AdmissionDecision.ADMITTED


def _no_origin_in_force(history: AttemptHistory) -> RequestRejectedError:
    if history.tried_origins:
        return RequestRejectedError(503, "no further origin in force", RETRY_SOON_SECONDS)
    return RequestRejectedError(503, "no origin in force", RETRY_LATER_SECONDS)
