"""The operators of a simulated fleet: their orders, what they hear, and what they do then."""

import random

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
from willowpost.state.kinds import SUPERSEDED

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


class Operators:
    """Sends orders to registries, and tells the rules what was accepted.

    Invariants: every order and its answer is in the world's history; an operator whose
    acknowledgement was lost sends the same order to another registry, until a newer one concerns
    the same thing.

    Attributes:
        lost_part: The part of the acknowledgements that is lost on the way, in [0, 1].
        last_acknowledged_by: The number of the registry that answered an operator last.
    """

    def __init__(self, world, seed: int):
        self.world = world
        self.chance = random.Random(f"operators {seed}")
        self.lost_part = 0.0
        self.last_acknowledged_by = 0
        self._newest: dict[str, int] = {}  # what an order concerns -> the newest order of it

    def order(self, registry: int, op: dict, accepted) -> None:
        """Send an operation; `accepted` is called with the log's answer if that is heard."""
        request = request_of(op)
        concerned = f"{op['op']}/{op.get('zone', '')}"
        self._newest[concerned] = order = self._newest.get(concerned, 0) + 1
        self._send(registry, op, accepted, request, (concerned, order))

    def _send(self, registry, op, accepted, request, place):
        call = self.world.history.invoke(f"operator at r{registry}", request) if request else None
        token = self.world.ask(f"r{registry}", self._fenced(registry, op))
        self.world.at(
            LOOK_EVERY,
            self._look,
            token,
            call,
            registry,
            op,
            accepted,
            request,
            place,
            self.world.time,
        )

    def _look(self, token, call, registry, op, accepted, request, place, since):
        world = self.world
        if token not in world.replies:
            if world.time - since < GIVEN_UP_AFTER:
                world.at(
                    LOOK_EVERY,
                    self._look,
                    token,
                    call,
                    registry,
                    op,
                    accepted,
                    request,
                    place,
                    since,
                )
            return
        if self.lost_part and self.chance.random() < self.lost_part:
            world.at(RESEND_AFTER, self._again, registry, op, accepted, request, place)
            return
        answers = world.replies[token]["answers"]
        if call is not None:
            world.history.answered(call, answer_of(answers))
        if answers is not None and answers[0].get("why") == SUPERSEDED:
            self._again(registry, op, accepted, request, place)
        elif answers is not None and answers[0]["ok"]:
            self.last_acknowledged_by = registry
            accepted(answers[0])

    def _fenced(self, registry, op):
        """As a registry proposes an evacuation: it undoes nothing newer than its tables."""
        node = self.world.seats[f"r{registry}"].node
        if op["op"] != "zone" or node is None:
            return op
        return {**op, "as_of": node.registry.tables.slot}

    def _again(self, registry, op, accepted, request, place):
        concerned, order = place
        if self._newest[concerned] == order or op["op"] == "purge":
            other = (registry + 1 + self.chance.randrange(4)) % len(self.world.registries)
            self._send(other, op, accepted, request, place)


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
