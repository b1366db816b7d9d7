"""Calls of origins: they register, send heartbeats, drain and leave."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from willowpost.common.clock import MILLI
from willowpost.configuration.model import Name
from willowpost.registry.api.log_client import LogClient, unfenced
from willowpost.registry.api.request_body import SMALL_BODY_BYTES, RequestBody, parse_body
from willowpost.registry.api.responses import (
    ValidationIssue,
    out_of_touch,
    quorum_read_failed,
    rejection,
)
from willowpost.registry.api.route import Route
from willowpost.registry.origin_health import HeartbeatReceived
from willowpost.registry.origin_lookup import find_incarnation, find_origin
from willowpost.shell.settings import Address
from willowpost.shell.web import Answer, Call
from willowpost.state.apply.origins import origin_with_token
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState, EndOrigin, RegisterOrigin
from willowpost.state.results import OriginAccepted, Reason, Rejected, StateAccepted
from willowpost.state.tables import Tables
from willowpost.wire.messages import OriginHeartbeat

DRAINING, GONE = OriginState.DRAINING.value, OriginState.GONE.value
DEFAULT_RATE = 100.0  # requests per second
MAX_RATE = 1_000_000
SLOW_START_DIVISOR = 10  # of the rate, for an origin that does not name its rate in slow start
# It goes into a header, so it has no spaces.
Token = Annotated[str, Field(pattern=r"^[!-~]{1,256}$")]


class OriginReport(RequestBody):
    """The body of a registration or heartbeat.

    Attributes:
        service: that the origin serves.
        address: IP:port where it serves.
        zone: where it is.
        rate: requests per second that it can take; None: not given.
        cold_rate: requests per second while it warms up; None: a tenth of the rate.
        load: requests in flight and in its queue.
        token: names the incarnation of its process; None: it has no name.
        number: rises with each heartbeat of an incarnation; 0: none.
        state: "ready": it takes new requests; "draining": it takes none.
        cold_ms: for how many milliseconds it still warms up; None: not given.
        slots: how many requests it works on at once; None: not given.

    Most calls are of this kind: pydantic reads one in a third of the time that plain code takes for
    the same issues.
    """

    service: Name
    address: Address
    zone: Name
    rate: Annotated[float, Field(gt=0, le=MAX_RATE)] | None = None
    cold_rate: Annotated[float, Field(gt=0, le=MAX_RATE)] | None = None
    load: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    token: Token | None = None
    number: Annotated[int, Field(ge=0, lt=2**63)] = 0
    state: Literal["ready", "draining"] = "ready"
    cold_ms: Annotated[float, Field(ge=0, le=1e9)] | None = None
    slots: Annotated[int, Field(ge=0, le=1_000_000)] | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the origin takes no new requests."""
        return self.state == DRAINING

    @property
    def effective_rate(self) -> float:
        """The requests per second that the origin can take.

        It is DEFAULT_RATE by default; an origin that names its `slots` but no rate is limited only
        by its service's own rate.
        """
        if self.rate is not None:
            return self.rate
        return DEFAULT_RATE if self.slots is None else float(MAX_RATE)

    def as_registration(self, tables: Tables) -> RegisterOrigin:
        """Return the operation that registers the origin, fenced by the slot of these tables."""
        rate = self.effective_rate
        return RegisterOrigin(
            address=self.address,
            service=self.service,
            zone=self.zone,
            rate=rate,
            slow_start_rate=self.cold_rate or rate / SLOW_START_DIVISOR,
            token=self.token,
            slots=self.slots,
            heartbeat_number=self.number,
            is_draining=self.is_draining,
            is_warming_up=None if self.cold_ms is None else self.cold_ms > 0,
            known_slot=tables.slot,
        )

    def as_heartbeat(self, origin: str) -> HeartbeatReceived:
        """Return the heartbeat of a registered origin, by its name in the tables."""
        warm_up_us = 0 if self.cold_ms is None else int(self.cold_ms * MILLI)
        return HeartbeatReceived(
            OriginHeartbeat(origin, self.load, warm_up_us, self.slots or 0, self.number),
            reports_warm_up=self.cold_ms is not None,
        )


class OriginReference(RequestBody):
    """The body of a drain or leave: the origin's address (and service), or its token."""

    address: Address | None = None
    service: Name | None = None
    token: Token | None = None

    @model_validator(mode="after")
    def _check_reference(self) -> Self:
        if (self.address is None) == (self.token is None):
            raise ValueError("an address or a token says who leaves")
        return self


class OriginRoutes:
    """The calls of origins.

    A heartbeat of a known incarnation is answered without the log. One that says that the
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

    def _register(self, call: Call) -> Answer:
        deadline = self.log_client.deadline_for(call)
        parsed = parse_body(OriginReport, call.body)
        if parsed.is_err():
            return parsed.unwrap_err()
        return self.log_client.submit(
            parsed.unwrap().as_registration,
            deadline,
            lambda result, slot: _registered(201, result, slot),
        )

    def _receive_heartbeat(self, call: Call) -> Answer:
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
            return self._register_from_heartbeat(report, deadline)
        entry = self.tables.origins.get(name)
        state = GONE if entry is None else entry.state.value
        if not report.is_draining or state == DRAINING:
            return self._acknowledge_heartbeat(name, state, report)
        if report.token is None:
            return self._change_state(ChangeOriginState(DRAINING, name), deadline, name)
        return self._register_from_heartbeat(report, deadline)

    def _find_incarnation(self, report: OriginReport, deadline: int) -> str | None:
        """Return the name of the origin that sent the report; None: it must register.

        For an origin without a token, not known here may only mean not known yet.
        """
        name = find_incarnation(self.tables, report.address, report.service, report.token)
        if name is None and report.token is None and self.log_client.quorum_read(deadline):
            return find_incarnation(self.tables, report.address, report.service, report.token)
        return name

    def _acknowledge_heartbeat(self, name: str, state: str, report: OriginReport) -> Answer:
        """Record and pass on a known incarnation's heartbeat.

        It is acknowledged only while this registry is in touch: otherwise the registries that judge
        time-outs may not receive it, and the origin should go to another registry.
        """
        self.log_client.runner.inbox.put(report.as_heartbeat(name))
        # That it drains is in the log: so much is true whatever has happened since.
        if state != DRAINING and not self.log_client.is_in_touch():
            return out_of_touch()
        return Answer(200, {"origin": name, "state": state})

    def _register_from_heartbeat(self, report: OriginReport, deadline: int) -> Answer:
        """Register an incarnation, or record that it drains.

        One with a token is registered once, whoever submits it: no read before, no wait after.
        """
        code = 201 if report.token is None else 200
        return self.log_client.submit(
            report.as_registration,
            deadline,
            lambda result, slot: _registered(code, result, slot),
            on_rejected=_registration_rejected,
            wait_for_tables=report.token is None,
        )

    def _drain(self, call: Call) -> Answer:
        return self._end_service(call, DRAINING)

    def _leave(self, call: Call) -> Answer:
        return self._end_service(call, GONE)

    def _end_service(self, call: Call, state: str) -> Answer:
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

    def _end_service_of_token(self, token: str, state: str, deadline: int) -> Answer:
        operation = EndOrigin(token) if state == GONE else ChangeOriginState(state, token=token)
        name = origin_with_token(self.tables, token)
        return self._change_state(operation, deadline, name, wait_for_tables=False)

    def _change_state(
        self,
        operation: ChangeOriginState | EndOrigin,
        deadline: int,
        name: str | None,
        wait_for_tables: bool = True,
    ) -> Answer:
        def state_changed(result: StateAccepted | OriginAccepted, slot: int) -> Answer:
            return Answer(200, {"origin": name, "state": result.state, "slot": slot})

        def change_rejected(result: Rejected) -> Answer:
            if operation.token is not None:
                return _unknown_origin("token")
            return _origin_rejected(result)

        return self.log_client.submit(
            unfenced(operation), deadline, state_changed, change_rejected, wait_for_tables
        )


def _registered(code: int, result: OriginAccepted, slot: int) -> Answer:
    return Answer(code, {"origin": result.origin, "state": result.state, "slot": slot})


def _registration_rejected(result: Rejected) -> Answer:
    if result.reason == Reason.INCARNATION_ENDED:
        return _incarnation_ended()
    return _origin_rejected(result)


def _incarnation_ended() -> Answer:
    return Answer(200, {"origin": None, "state": GONE})


def _unknown_origin(location: str) -> Answer:
    return rejection(404, ValidationIssue(location, "no such origin"))


def _origin_rejected(result: Rejected) -> Answer:
    return rejection(409, ValidationIssue("origin", result.reason))
