"""Calls of origins: they register, send heartbeats, drain and leave."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from willowpost.common.clock import MILLI
from willowpost.configuration.model import Name
from willowpost.registry.calls.body import Strict, parsed
from willowpost.registry.calls.control_api import ControlApi, as_of_slot, out_of_touch, unread
from willowpost.registry.origin_health import HeartbeatReceived
from willowpost.registry.origin_lookup import origin_at, same_incarnation
from willowpost.shell.settings import Address
from willowpost.shell.web import Answer, Call
from willowpost.state.apply.origins import origin_with_token
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState, EndOrigin, RegisterOrigin
from willowpost.state.results import Reason
from willowpost.wire.messages import OriginHeartbeat

SMALL = 64 * 1024
DRAINING, GONE = OriginState.DRAINING.value, OriginState.GONE.value
# It goes into a header, so it has no spaces.
Token = Annotated[str, Field(pattern=r"^[!-~]{1,256}$")]


RATE, RATE_MOST = 100.0, 1_000_000


class OriginCall(Strict):
    """The body of a registration or heartbeat.

    Attributes:
        service: that the origin serves.
        address: IP:port where it serves.
        zone: where it is.
        rate: requests per second that it can take; None: not said.
        cold_rate: requests per second while it is cold; None: a tenth of the rate.
        load: requests that it works on and keeps waiting.
        token: names the incarnation of its process; None: it has no name.
        number: rises with each heartbeat of an incarnation; 0: none.
        state: "ready": it takes new requests; "draining": it takes none.
        cold_ms: for how many milliseconds it is still cold; None: not said.
        slots: how many requests it works on at once; None: not said.

    Most calls are of this kind: pydantic reads one in a third of the time that plain code takes for
    the same findings.
    """

    service: Name
    address: Address
    zone: Name
    rate: Annotated[float, Field(gt=0, le=RATE_MOST)] | None = None
    cold_rate: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    load: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    token: Token | None = None
    number: Annotated[int, Field(ge=0, lt=2**63)] = 0
    state: Literal["ready", "draining"] = "ready"
    cold_ms: Annotated[float, Field(ge=0, le=1e9)] | None = None
    slots: Annotated[int, Field(ge=0, le=1_000_000)] | None = None


class LeaveCall(Strict):
    """The body of a drain or leave: the origin's address (and service), or its token."""

    address: Address | None = None
    service: Name | None = None
    token: Token | None = None

    @model_validator(mode="after")
    def _one(self):
        if (self.address is None) == (self.token is None):
            raise ValueError("an address or a token says who leaves")
        return self


class OriginCalls:
    """The calls of origins.

    A heartbeat of a known incarnation is answered without the log. One that says that the
    incarnation drains is acknowledged only once the log has accepted that. Repeated calls about an
    incarnation count, and are answered, as one.
    """

    def __init__(self, control_api: ControlApi):
        self.control_api = control_api

    def routes(self):
        """Return the routes: (method, path, most bytes of a body, handler)."""
        return (
            ("POST", "/v1/origins", SMALL, self._register),
            ("POST", "/v1/origins/beat", SMALL, self._beat),
            ("POST", "/v1/origins/drain", SMALL, lambda call: self._turn(call, DRAINING)),
            ("POST", "/v1/origins/leave", SMALL, lambda call: self._turn(call, GONE)),
        )

    @property
    def tables(self):
        """The tables held here."""
        return self.control_api.node_state.tables

    def _register(self, call: Call) -> Answer:
        deadline = self.control_api.deadline(call)
        read = parsed(OriginCall, call.body)
        if read.is_err():
            return read.unwrap_err()
        return self._entered(read.unwrap(), 201, deadline=deadline)

    def _entered(self, origin, code, **how) -> Answer:
        rate = _rate(origin)
        operation = RegisterOrigin(
            address=origin.address,
            service=origin.service,
            zone=origin.zone,
            rate=rate,
            slow_start_rate=origin.cold_rate or rate / 10,
            token=origin.token,
            slots=origin.slots,
            heartbeat_number=origin.number,
            is_draining=origin.state == DRAINING,
            is_warming_up=None if origin.cold_ms is None else origin.cold_ms > 0,
        )
        return self.control_api.accepted(
            operation,
            lambda result, slot: Answer(
                code, {"origin": result.origin, "state": result.state, "slot": slot}
            ),
            fence=as_of_slot,
            **how,
        )

    def _beat(self, call: Call) -> Answer:
        """Take a heartbeat.

        That of a known incarnation is recorded and passed on in any case, but acknowledged only
        while this registry is in touch: otherwise the registries that judge silence may not hear of
        it, and the origin should go to another registry.
        """
        deadline = self.control_api.deadline(call)
        read = parsed(OriginCall, call.body)
        if read.is_err():
            return read.unwrap_err()
        origin = read.unwrap()
        if origin.token in self.tables.ended_tokens:
            return _over()
        name = self._incarnation(origin, deadline)
        known = self.tables.origins.get(name)
        state = GONE if known is None else known.state.value
        if name is not None and (origin.state != DRAINING or state == DRAINING):
            return self._heard(name, state, origin)
        if name is not None and origin.token is None:
            return self._turned(ChangeOriginState(DRAINING, name), deadline, name)
        # An incarnation is registered once, whoever submits it: no read before, no wait after.
        return self._entered(
            origin,
            200 if origin.token else 201,
            deadline=deadline,
            follow=origin.token is None,
            refused=lambda result: (
                _over() if result.reason == Reason.INCARNATION_ENDED else _refused(result)
            ),
        )

    def _heard(self, name: str, state: str, origin: OriginCall) -> Answer:
        cold = None if origin.cold_ms is None else int(origin.cold_ms * MILLI)
        beat = OriginHeartbeat(name, origin.load, cold or 0, origin.slots or 0, origin.number)
        self.control_api.runner.inbox.put(HeartbeatReceived(beat, cold is not None))
        # That it drains is in the log: so much is true whatever has happened since.
        if state != DRAINING and not self.control_api.is_in_touch():
            return out_of_touch()
        return Answer(200, {"origin": name, "state": state})

    def _incarnation(self, origin, deadline):
        def find():
            return same_incarnation(self.tables, origin.address, origin.service, origin.token)

        name = find()
        if name is None and origin.token is None and self.control_api.read(deadline):
            return find()
        return name

    def _turn(self, call: Call, state: str) -> Answer:
        """Drain or end an origin.

        An incarnation that drains or has ended stays so, so a late call undoes nothing.
        """
        deadline = self.control_api.deadline(call)
        read = parsed(LeaveCall, call.body)
        if read.is_err():
            return read.unwrap_err()
        leaving = read.unwrap()
        if leaving.token is not None:
            return self._turn_life(leaving.token, state, deadline)
        name = origin_at(self.tables, leaving.address, leaving.service)
        if name is None:
            # Not known here may only mean not known yet: look again after a quorum read.
            if not self.control_api.read(deadline):
                return unread()
            name = origin_at(self.tables, leaving.address, leaving.service)
        if name is None:
            return _unknown("address")
        return self._turned(ChangeOriginState(state, name), deadline, name)

    def _turn_life(self, token: str, state: str, deadline: int) -> Answer:
        operation = EndOrigin(token) if state == GONE else ChangeOriginState(state, token=token)
        name = origin_with_token(self.tables, token)
        return self._turned(operation, deadline, name, follow=False)

    def _turned(self, operation, deadline, name, follow=True):
        return self.control_api.accepted(
            operation,
            lambda result, slot: Answer(200, {"origin": name, "state": result.state, "slot": slot}),
            deadline,
            follow=follow,
            refused=lambda result: (
                _refused(result) if operation.token is None else _unknown("token")
            ),
        )


def _rate(origin: OriginCall) -> float:
    """Return the requests per second that the origin can take.

    It is RATE by default; an origin that names its `slots` but no rate is limited only by its
    service's own rate.
    """
    if origin.rate is not None:
        return origin.rate
    return RATE if origin.slots is None else float(RATE_MOST)


def _over() -> Answer:
    return Answer(200, {"origin": None, "state": GONE})


def _unknown(place) -> Answer:
    return Answer(404, {"findings": [{"place": place, "finding": "no such origin"}]})


def _refused(result) -> Answer:
    return Answer(409, {"findings": [{"place": "origin", "finding": result.reason}]})
