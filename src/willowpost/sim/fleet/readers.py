"""Readers of a simulated fleet: they read back what is in force, by quorum reads, all the time."""

import random

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.history.checker import HistoryChecker
from willowpost.history.content import content_of
from willowpost.history.records import (
    CONFIGURATION_KEY,
    ZONE_PREFIX,
    Answer,
    Operation,
    Outcome,
    Request,
)
from willowpost.history.search import Linearizability

READ_EVERY = 400 * MILLISECOND
LOOK_EVERY = 20 * MILLISECOND
READ_SPAN = 3 * SECOND  # a registry gives up a read after it
MAX_HISTORY_SEARCH_STEPS = 200_000


class Readers:
    """Reads the configuration and the evacuated zones at random registries.

    As in the control API, a registry's state is an answer only once it is known to be complete as
    of the call. Random choices here do not change those of the world.
    """

    def __init__(self, world, seed: int):
        self.world = world
        self.chance = random.Random(f"readers {seed}")
        self._digest = (None, None)  # a tree and its digest

    def start(self) -> None:
        """Read from now on."""
        self.world.at(READ_EVERY, self._next)

    def _next(self):
        self.world.at(READ_EVERY // 2 + self.chance.randrange(READ_EVERY), self._next)
        registry = self.chance.choice(self.world.registries)
        seat = self.world.seats[registry]
        if seat.node is None or seat.frozen_until > self.world.time:
            return
        history, caller = self.world.history, f"reader at {registry}"
        calls = [history.invoke(caller, Request(Operation.READ, CONFIGURATION_KEY))]
        calls += [
            history.invoke(caller, Request(Operation.EVACUATION_READ, ZONE_PREFIX + zone))
            for zone in self.world.shape.zones
        ]
        self._look(seat, seat.incarnation, calls, self.world.time)

    def _look(self, seat, incarnation, calls, since):
        world = self.world
        if seat.incarnation != incarnation or world.time - since > READ_SPAN:
            return
        node_state = seat.node.registry
        fresh = node_state.fresh_as_of
        frozen = seat.frozen_until > world.time
        if frozen or fresh is None or fresh < seat.clock_base + since:
            world.at(LOOK_EVERY, self._look, seat, incarnation, calls, since)
            return
        self._answer(node_state.tables, calls)

    def _answer(self, tables, calls):
        configuration = tables.configuration
        history = self.world.history
        digest = self._digest_of(configuration.tree)
        history.record_answer(calls[0], Answer(Outcome.OK, configuration.version, digest))
        for call, zone in zip(calls[1:], self.world.shape.zones, strict=True):
            evacuation = tables.zone_evacuations.get(zone)
            is_evacuated = evacuation is not None and evacuation.is_evacuated
            history.record_answer(call, Answer(Outcome.OK, is_evacuated=is_evacuated))

    def _digest_of(self, tree):
        if self._digest[0] is not tree:
            self._digest = (tree, content_of(tree))
        return self._digest[1]

    def judge(self) -> None:
        """Raise Broken if a part of the history has no explanation."""
        traffic = self.world.traffic
        for verdict in HistoryChecker(MAX_HISTORY_SEARCH_STEPS).check(self.world.history.calls()):
            if verdict.result is Linearizability.UNDECIDED:
                traffic.note_margin("histories that were not decided", 1)
            lines = "; ".join(call.describe() for call in verdict.window)
            traffic.say(
                verdict.result is not Linearizability.NOT_LINEARIZABLE,
                f"history of {verdict.key.split('/')[0]} has no explanation: ({lines})",
            )
