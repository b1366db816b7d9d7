"""Calls of origins: they register, send heartbeats, drain and leave."""

from collections.abc import Callable

from willowpost.registry.api.log_client import LogClient, unfenced, unless_superseded
from willowpost.registry.api.origin_requests import OriginReference, OriginReport
from willowpost.registry.api.request_body import SMALL_BODY_BYTES, parse_body
from willowpost.registry.api.responses import (
    ValidationIssue,
    out_of_touch,
    quorum_read_failed,
    rejection,
)
from willowpost.registry.api.route import Route
from willowpost.registry.origin_lookup import find_incarnation, find_origin
from willowpost.shell.web import Request, Response
from willowpost.state.apply.origin_registration import is_superseded
from willowpost.state.apply.origins import origin_with_token
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState, EndOrigin
from willowpost.state.results import OriginAccepted, Reason, Rejected, StateAccepted
from willowpost.state.tables import Tables

DRAINING, GONE = OriginState.DRAINING.value, OriginState.GONE.value


class OriginRoutes:
    """The calls of origins.

    A heartbeat of a known incarnation is answered without the log. One that reports that the
    incarnation drains is acknowledged only once the log has accepted that. Repeated calls about an
    incarnation count, and are answered, as one.
    """

    def __init__(self, log_client: LogClient) -> None:
        self.log_client = log_client

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this group."""
        return (
            Route("POST", "/v1/origins", SMALL_BODY_BYTES, self._register),
            Route("POST", "/v1/origins/beat", SMALL_BODY_BYTES, self._receive_heartbeat),
            Route("POST", "/v1/origins/drain", SMALL_BODY_BYTES, self._drain),
            Route("POST", "/v1/origins/leave", SMALL_BODY_BYTES, self._leave),
        )

    @property
    def tables(self) -> Tables:
        """The tables as far as this registry has followed the log."""
        return self.log_client.node_state.tables

    def _register(self, call: Request) -> Response:
        deadline = self.log_client.deadline_for(call)
        parsed = parse_body(OriginReport, call.body)
        if parsed.is_err():
            return parsed.unwrap_err()
        return self._submit_registration(call, parsed.unwrap(), deadline)

    def _receive_heartbeat(self, call: Request) -> Response:
        """Take a heartbeat; that of an unknown incarnation registers it."""
        deadline = self.log_client.deadline_for(call)
        parsed = parse_body(OriginReport, call.body)
        if parsed.is_err():
            return parsed.unwrap_err()
        report = parsed.unwrap()
        if report.token in self.tables.ended_tokens:
            return _incarnation_ended()
        name = self._find_incarnation(report, deadline)
        if name is None:
            return self._register_from_heartbeat(call, report, deadline)
        entry = self.tables.origins.get(name)
        state = GONE if entry is None else entry.state.value
        if not report.is_draining or state == DRAINING:
            return self._acknowledge_heartbeat(name, state, report)
        if report.token is None:
            return self._change_state(ChangeOriginState(DRAINING, name), deadline, name)
        return self._register_from_heartbeat(call, report, deadline)

    def _find_incarnation(self, report: OriginReport, deadline: int) -> str | None:
        """Return the name of the origin that sent the report; None: it must register.

        For an origin without a token, not known here may only mean not known yet.
        """
        name = find_incarnation(self.tables, report.address, report.service, report.token)
        if name is None and report.token is None and self.log_client.quorum_read(deadline):
            return find_incarnation(self.tables, report.address, report.service, report.token)
        return name

    def _acknowledge_heartbeat(self, name: str, state: str, report: OriginReport) -> Response:
        """Record and pass on a known incarnation's heartbeat.

        It is acknowledged only while this registry is in touch: otherwise the registries that judge
        time-outs may not receive it, and the origin should go to another registry.
        """
        self.log_client.runner.inbox.put(report.as_heartbeat(name))
        # That it drains is in the log: so much is true whatever has happened since.
        if state != DRAINING and not self.log_client.is_in_touch():
            return out_of_touch()
        return Response(200, {"origin": name, "state": state})

    def _register_from_heartbeat(
        self, call: Request, report: OriginReport, deadline: int
    ) -> Response:
        """Register an incarnation, or record that it drains.

        One with a token is registered once, whoever submits it: no read before, no wait after.
        """
        return self._submit_registration(
            call,
            report,
            deadline,
            code=201 if report.token is None else 200,
            on_rejected=_registration_rejected,
            wait_for_tables=report.token is None,
        )

    def _submit_registration(
        self,
        call: Request,
        report: OriginReport,
        deadline: int,
        code: int = 201,
        on_rejected: Callable[[Rejected], Response] | None = None,
        wait_for_tables: bool = True,
    ) -> Response:
        """Register an origin, unless another registered at its address since the call was sent.

        However late the call is carried out, it counts as sent before its connection came.
        """
        known = self.log_client.position_of(call)
        if known.is_err():
            return known.unwrap_err()
        registration = report.as_registration(known.unwrap().slot)
        return self.log_client.submit(
            unless_superseded(registration, is_superseded),
            deadline,
            lambda result, slot: _registered(code, result, slot),
            on_rejected,
            wait_for_tables,
            on_superseded=lambda: self.log_client.redirect(call),
        )

    def _drain(self, call: Request) -> Response:
        return self._end_service(call, DRAINING)

    def _leave(self, call: Request) -> Response:
        return self._end_service(call, GONE)

    def _end_service(self, call: Request, state: str) -> Response:
        """Drain or end an origin.

        An incarnation that drains or has ended stays so, so a late call undoes nothing.
        """
        deadline = self.log_client.deadline_for(call)
        parsed = parse_body(OriginReference, call.body)
        if parsed.is_err():
            return parsed.unwrap_err()
        reference = parsed.unwrap()
        if reference.token is not None:
            return self._end_service_of_token(reference.token, state, deadline)
        name = find_origin(self.tables, reference.address, reference.service)
        if name is None:
            # Not known here may only mean not known yet: search again after a quorum read.
            if not self.log_client.quorum_read(deadline):
                return quorum_read_failed()
            name = find_origin(self.tables, reference.address, reference.service)
        if name is None:
            return _unknown_origin("address")
        return self._change_state(ChangeOriginState(state, name), deadline, name)

    def _end_service_of_token(self, token: str, state: str, deadline: int) -> Response:
        operation = EndOrigin(token) if state == GONE else ChangeOriginState(state, token=token)
        name = origin_with_token(self.tables, token)
        return self._change_state(operation, deadline, name, wait_for_tables=False)

    def _change_state(
        self,
        operation: ChangeOriginState | EndOrigin,
        deadline: int,
        name: str | None,
        wait_for_tables: bool = True,
    ) -> Response:
        def state_changed(result: StateAccepted | OriginAccepted, slot: int) -> Response:
            return Response(200, {"origin": name, "state": result.state, "slot": slot})

        def change_rejected(result: Rejected) -> Response:
            if operation.token is not None:
                return _unknown_origin("token")
            return _origin_rejected(result)

        return self.log_client.submit(
            unfenced(operation), deadline, state_changed, change_rejected, wait_for_tables
        )


def _registered(code: int, result: OriginAccepted, slot: int) -> Response:
    return Response(code, {"origin": result.origin, "state": result.state, "slot": slot})


def _registration_rejected(result: Rejected) -> Response:
    if result.reason in (Reason.INCARNATION_ENDED, Reason.INCARNATION_SUCCEEDED):
        return _incarnation_ended()
    return _origin_rejected(result)


def _incarnation_ended() -> Response:
    return Response(200, {"origin": None, "state": GONE})


def _unknown_origin(location: str) -> Response:
    return rejection(404, ValidationIssue(location, "no such origin"))


def _origin_rejected(result: Rejected) -> Response:
    return rejection(409, ValidationIssue("origin", result.reason))
