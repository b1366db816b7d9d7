"""The operators of a simulated fleet: their orders, what they hear, and what they do then."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.history.content import content_of
from willowpost.history.records import (
    CONFIGURATION_KEY,
    PURGE_KEY,
    ZONE_PREFIX,
    Answer,
    Operation,
    Outcome,
    Request,
)
from willowpost.registry.origin_lookup import find_origin
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import PurgeKind
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState, EvacuateZone, PurgeCache
from willowpost.state.operations import Operation as LogOperation
from willowpost.state.results import ConfigurationAccepted, Reason, Rejected, Result

ALL_HOSTS = "*"
LOOK_EVERY = 10 * MILLISECOND  # at whether an answer has come
GIVEN_UP_AFTER = 8 * SECOND
RESEND_AFTER = 200 * MILLISECOND  # of an order whose acknowledgement was lost


def request_of(operation: LogOperation) -> Request | None:
    """What an operation of the log is to a history; None if it concerns no operator's register."""
    match operation:
        case ConfigurationProposal(version=None, if_match=if_match, tree=tree):
            return Request(Operation.PUT, CONFIGURATION_KEY, if_match, content_of(tree))
        case ConfigurationProposal(version=version, tree=tree):
            return Request(Operation.REPLACE, CONFIGURATION_KEY, version, content_of(tree))
        case EvacuateZone(zone, is_evacuated=True):
            return Request(Operation.EVACUATION_BEGIN, ZONE_PREFIX + zone)
        case EvacuateZone(zone):
            return Request(Operation.EVACUATION_FINISH, ZONE_PREFIX + zone)
        case PurgeCache():
            return Request(Operation.PURGE, PURGE_KEY)
    return None


def answer_of(results: tuple[Result, ...] | None) -> Answer:
    """What the results of an order's one operation say to a history; None: not known."""
    if results is None:
        return Answer(Outcome.UNKNOWN)
    result = results[0]
    outcome = Outcome.OK if result.is_accepted else Outcome.REFUSED
    match result:
        case ConfigurationAccepted(version, is_changed):
            return Answer(outcome, version, is_changed=is_changed)
        case Rejected(version=int() as version):
            return Answer(outcome, version, is_changed=False)
    return Answer(outcome)


def subject_of(operation: LogOperation) -> str:
    """What an order is about; a newer order about the same makes it pointless."""
    zone = operation.zone if isinstance(operation, EvacuateZone) else ""
    return f"{type(operation).__name__}/{zone}"


@dataclass(frozen=True, slots=True)
class _Order:
    """What an operator wants, whoever it is sent to.

    Attributes:
        operation: The operation of the log.
        on_accepted: Called with the result if it is accepted and the operator hears of it.
        subject: What it is about; see `subject_of`.
        number: Counts the orders about `subject`.
    """

    operation: LogOperation
    on_accepted: Callable[[Result], None]
    subject: str
    number: int


@dataclass(frozen=True, slots=True)
class _Sending:
    """One sending of an order.

    Attributes:
        call: Its number in the history; None if the order concerns no register.
        token: Under which the registry's command client answers.
        sent_at: In µs of the world's time.
    """

    order: _Order
    registry: int
    call: int | None
    token: int
    sent_at: int


class Operators:
    """Sends orders to registries and tells the rules what was accepted.

    Every order and its reply is in the world's history. An operator whose acknowledgement was lost
    sends the same order to another registry, until a newer order concerns the same thing.

    Attributes:
        lost_part: The part of the acknowledgements that is lost on the way, in [0, 1].
        last_acknowledged_by: The number of the registry that answered an operator last.
    """

    def __init__(self, world, seed: int):
        self.world = world
        self.chance = random.Random(f"operators {seed}")
        self.lost_part = 0.0
        self.last_acknowledged_by = 0
        self._newest: dict[str, int] = {}  # subject -> number of the newest order

    def order(
        self, registry: int, operation: LogOperation, on_accepted: Callable[[Result], None]
    ) -> None:
        """Send an operation; `on_accepted` is called with its result if that is heard."""
        subject = subject_of(operation)
        number = self._newest.get(subject, 0) + 1
        self._newest[subject] = number
        self._send(_Order(operation, on_accepted, subject, number), registry)

    def _send(self, order: _Order, registry: int):
        world = self.world
        request = request_of(order.operation)
        call = world.history.invoke(f"operator at r{registry}", request) if request else None
        token = world.ask(f"r{registry}", self._fenced(registry, order.operation))
        world.at(LOOK_EVERY, self._look, _Sending(order, registry, call, token, world.time))

    def _look(self, sending: _Sending):
        world = self.world
        if sending.token in world.replies:
            self._hear(sending, world.replies[sending.token].results)
        elif world.time - sending.sent_at < GIVEN_UP_AFTER:
            world.at(LOOK_EVERY, self._look, sending)

    def _hear(self, sending: _Sending, results: tuple[Result, ...] | None):
        if self.lost_part and self.chance.random() < self.lost_part:
            self.world.at(RESEND_AFTER, self._again, sending)
            return
        if sending.call is not None:
            self.world.history.record_answer(sending.call, answer_of(results))
        if results is None:
            return
        result = results[0]
        if result.is_accepted:
            self.last_acknowledged_by = sending.registry
            sending.order.on_accepted(result)
        elif isinstance(result, Rejected) and result.reason == Reason.SUPERSEDED:
            self._again(sending)

    def _again(self, sending: _Sending):
        order = sending.order
        is_newest = self._newest[order.subject] == order.number
        if is_newest or isinstance(order.operation, PurgeCache):
            others = len(self.world.registries) - 1
            step = 1 + self.chance.randrange(others)
            self._send(order, (sending.registry + step) % len(self.world.registries))

    def _fenced(self, registry: int, operation: LogOperation) -> LogOperation:
        """As a registry proposes an evacuation: it undoes nothing newer than its tables."""
        node = self.world.seats[f"r{registry}"].node
        if not isinstance(operation, EvacuateZone) or node is None:
            return operation
        return replace(operation, known_slot=node.registry.tables.slot)


class OperatorActions:
    """The orders that schedules and tests give, as a part of the world."""

    def operate(
        self, registry: int, operation: LogOperation, on_accepted: Callable[[Result], None]
    ) -> None:
        """Send an operation of the log by way of a registry."""
        self.operators.order(registry, operation, on_accepted)

    def put_configuration(self, registry, if_match=None, version=None):
        """Send the world's configuration: under the next number, or under one of the operator's."""
        tree = ConfigurationChecker().check_value(self.configuration).unwrap()
        proposal = ConfigurationProposal(tree=tree, version=version, if_match=if_match)

        def on_accepted(result: ConfigurationAccepted) -> None:
            self.version = max(self.version, result.version)
            self.traffic.accepted_configuration(result.version)

        self.operate(registry, proposal, on_accepted)

    def purge(self, registry, kind=PurgeKind.PREFIX, path="/"):
        """The content changes, then its old self is purged."""
        old = self.traffic.replace()
        self.operate(
            registry,
            PurgeCache(kind, ALL_HOSTS, path),
            lambda result: self.traffic.purges.append((self.time, old)),
        )

    def drain_origin(self, registry, address):
        """An origin says that it leaves, and beats no more."""
        node = self.seats[f"r{registry}"].node
        if node is None:
            return
        name = find_origin(node.registry.tables, address, service=None)
        seat = self.seats[address]
        if name is not None and seat.node is not None:
            seat.node.silent = True
            incarnation = seat.incarnation
            self.operate(
                registry,
                ChangeOriginState(OriginState.DRAINING, origin=name),
                lambda result: self.traffic.leaving.update({address: (self.time, incarnation)}),
            )

    def empty_zone(self, registry, zone, empty):
        """Begin or finish the evacuation of a zone."""

        def on_accepted(result):
            if empty:
                self.traffic.emptied[zone] = self.time
            else:
                self.traffic.emptied.pop(zone, None)

        if not empty:
            self.traffic.emptied.pop(zone, None)
        self.operate(registry, EvacuateZone(zone, is_evacuated=empty), on_accepted)
