"""Calls that evacuate a zone, restore it, or show what its evacuation would lead to."""

from typing import Literal

from willowpost.registry.api.log_client import LogClient, unless_superseded
from willowpost.registry.api.request_body import SMALL_BODY_BYTES, RequestBody, parse_body
from willowpost.registry.api.responses import quorum_read_failed
from willowpost.registry.api.route import Route
from willowpost.shell.web import Request, Response
from willowpost.state.apply.evacuations import is_superseded
from willowpost.state.operations import EvacuateZone
from willowpost.toolbox.planner import ZonePlanner


class ZoneRequest(RequestBody):
    """The body of a call that evacuates or restores a zone; `what` counts for evacuations only."""

    what: Literal["all", "origins"] = "all"


class ZoneRoutes:
    """Zones; a success is answered only for what the log accepted in this call."""

    def __init__(self, log_client: LogClient) -> None:
        self.log_client = log_client

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this group."""
        return (
            Route("GET", "/v1/zones/*/plan", 0, self._plan),
            Route("POST", "/v1/zones/*/empty", SMALL_BODY_BYTES, self._evacuate),
            Route("POST", "/v1/zones/*/restore", SMALL_BODY_BYTES, self._restore),
        )

    def _plan(self, call: Request) -> Response:
        if not self.log_client.quorum_read(self.log_client.deadline_for(call)):
            return quorum_read_failed()
        plan = ZonePlanner().plan(self.log_client.node_state.tables, call.params[0])
        return Response(200, {"plan": plan})

    def _evacuate(self, call: Request) -> Response:
        return self._submit_order(call, is_evacuated=True)

    def _restore(self, call: Request) -> Response:
        return self._submit_order(call, is_evacuated=False)

    def _submit_order(self, call: Request, is_evacuated: bool) -> Response:
        """Evacuate or restore a zone; fenced, so that a late order undoes no newer one.

        However late the order is carried out, it counts as given before its connection came.
        """
        deadline = self.log_client.deadline_for(call)
        known = self.log_client.position_of(call)
        if known.is_err():
            return known.unwrap_err()
        parsed = parse_body(ZoneRequest, call.body.strip() or b"{}")
        if parsed.is_err():
            return parsed.unwrap_err()
        zone = call.params[0]
        scope = parsed.unwrap().what if is_evacuated else None
        shown_scope = {} if scope is None else {"what": scope}
        order = EvacuateZone(zone, is_evacuated, scope, known_slot=known.unwrap().slot)
        return self.log_client.submit(
            unless_superseded(order, is_superseded),
            deadline,
            lambda result, slot: Response(
                200, {"zone": zone, "empty": is_evacuated, **shown_scope, "slot": slot}
            ),
            on_superseded=lambda: self.log_client.redirect(call),
        )
