"""The operators of a simulated fleet: their orders, what they hear, and what they do then."""

import random
from dataclasses import dataclass

from willowpost.common.clock import MILLI, SECOND
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
from willowpost.state.lifecycle import SUPERSEDED

LOOK_EVERY = 10 * MILLI  # at whether an answer has come
GIVEN_UP_AFTER = 8 * SECOND
RESEND_AFTER = 200 * MILLI  # of an order whose acknowledgement was lost


def request_of(op: dict) -> Request | None:
    """What an operation of the log is to a history; None if it concerns no operator's register."""
    match op["op"]:
        case "configuration" if op.get("version") is not None:
            return Request(
                Operation.REPLACE, CONFIGURATION_KEY, op["version"], content_of(op["tree"])
            )
        case "configuration":
            return Request(Operation.PUT, CONFIGURATION_KEY, op["if_match"], content_of(op["tree"]))
        case "zone":
            operation = Operation.EVACUATION_BEGIN if op["empty"] else Operation.EVACUATION_FINISH
            return Request(operation, ZONE_PREFIX + op["zone"])
        case "purge":
            return Request(Operation.PURGE, PURGE_KEY)
    return None


def answer_of(answers) -> Answer:
    """What the log's answer says to a history."""
    if answers is None:
        return Answer(Outcome.UNKNOWN)
    held = answers[0]
    outcome = Outcome.OK if held["ok"] else Outcome.REFUSED
    return Answer(outcome, held.get("version"), changed=held.get("changed"))


@dataclass(frozen=True, slots=True)
class _Order:
    """What an operator wants, whoever it is sent to.

    Attributes:
        op: The operation of the log.
        accepted: Called with the log's answer if it is accepted and the operator hears of it.
        concerned: What it is about; a newer order about the same makes it pointless.
        number: Counts the orders about `concerned`.
    """

    op: dict
    accepted: object
    concerned: str
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
        self._newest: dict[str, int] = {}  # what an order concerns -> the newest order's number

    def order(self, registry: int, op: dict, accepted) -> None:
        """Send an operation; `accepted` is called with the log's answer if that is heard."""
        concerned = f"{op['op']}/{op.get('zone', '')}"
        number = self._newest.get(concerned, 0) + 1
        self._newest[concerned] = number
        self._send(_Order(op, accepted, concerned, number), registry)

    def _send(self, order: _Order, registry: int):
        world = self.world
        request = request_of(order.op)
        call = world.history.invoke(f"operator at r{registry}", request) if request else None
        token = world.ask(f"r{registry}", self._fenced(registry, order.op))
        world.at(LOOK_EVERY, self._look, _Sending(order, registry, call, token, world.time))

    def _look(self, sending: _Sending):
        world = self.world
        if sending.token in world.replies:
            self._hear(sending, world.replies[sending.token]["answers"])
        elif world.time - sending.sent_at < GIVEN_UP_AFTER:
            world.at(LOOK_EVERY, self._look, sending)

    def _hear(self, sending: _Sending, answers):
        if self.lost_part and self.chance.random() < self.lost_part:
            self.world.at(RESEND_AFTER, self._again, sending)
            return
        if sending.call is not None:
            self.world.history.answered(sending.call, answer_of(answers))
        if answers is None:
            return
        if answers[0]["ok"]:
            self.last_acknowledged_by = sending.registry
            sending.order.accepted(answers[0])
        elif answers[0].get("why") == SUPERSEDED:
            self._again(sending)

    def _again(self, sending: _Sending):
        order = sending.order
        if self._newest[order.concerned] == order.number or order.op["op"] == "purge":
            others = len(self.world.registries) - 1
            step = 1 + self.chance.randrange(others)
            self._send(order, (sending.registry + step) % len(self.world.registries))

    def _fenced(self, registry, op):
        """As a registry proposes an evacuation: it undoes nothing newer than its tables."""
        node = self.world.seats[f"r{registry}"].node
        if op["op"] != "zone" or node is None:
            return op
        return {**op, "as_of": node.registry.tables.slot}


class OperatorActions:
    """The orders that schedules and tests give, as a part of the world."""

    def operate(self, registry, op, then):
        """Send an operation of the log by way of a registry."""
        self.operators.order(registry, op, then)

    def put_configuration(self, registry, if_match=None, version=None):
        """Send the world's configuration: under the next number, or under one of the operator's."""
        tree = ConfigurationChecker().check_value(self.configuration).unwrap()
        op = {"op": "configuration", "tree": tree, "if_match": if_match}
        if version is not None:
            op["version"] = version

        def accepted(answer):
            self.version = max(self.version, answer["version"])
            self.traffic.accepted_configuration(answer["version"])

        self.operate(registry, op, accepted)

    def purge(self, registry, kind="prefix", path="/"):
        """The content changes, then its old self is purged."""
        old = self.traffic.replace()
        self.operate(
            registry,
            {"op": "purge", "kind": kind, "host": "*", "path": path},
            lambda answer: self.traffic.purges.append((self.time, old)),
        )

    def drain_origin(self, registry, address):
        """An origin says that it leaves, and beats no more."""
        tables = self.seats[f"r{registry}"].node
        if tables is None:
            return
        name = next(
            (
                name
                for name, card in tables.registry.tables.origins.items()
                if card["address"] == address
            ),
            None,
        )
        seat = self.seats[address]
        if name is not None and seat.node is not None:
            seat.node.silent = True
            incarnation = seat.incarnation
            self.operate(
                registry,
                {"op": "turn", "origin": name, "state": "draining"},
                lambda answer: self.traffic.leaving.update({address: (self.time, incarnation)}),
            )

    def empty_zone(self, registry, zone, empty):
        """Begin or finish the evacuation of a zone."""

        def done(answer):
            if empty:
                self.traffic.emptied[zone] = self.time
            else:
                self.traffic.emptied.pop(zone, None)

        if not empty:
            self.traffic.emptied.pop(zone, None)
        self.operate(registry, {"op": "zone", "zone": zone, "empty": empty}, done)
