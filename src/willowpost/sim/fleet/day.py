"""A day in little: callers move from zone to zone.

And the shares of the allowances must follow them.
"""

import math
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds


@dataclass(frozen=True, slots=True)
class DayFigures:
    calls: int
    refused: int
    worst_second: int  # refusals in the worst second
    busiest_part: float  # the most of all calls that one edge got in a second


class DayWorld(FleetWorld):
    """Invariant: the sum of calls is steady; only where they come in moves.

    Once round all edges in `period` seconds.
    """

    def __init__(self, seed: int, period: float, rate: float, sharp: float = 3.0, **more):
        super().__init__(seed, rate=rate, **more)
        self.period, self.sharp = period, sharp
        self.per_second: dict[int, dict] = {}

    def _call(self):
        if not self.calling:
            return
        edges = self.sound_edges()
        if edges:
            chosen_edge = self.chance.choices(
                edges, [self._weight(int(edge[1:])) for edge in edges]
            )[0]
            held = self.per_second.setdefault(self.time // SECOND, {})
            held[chosen_edge] = held.get(chosen_edge, 0) + 1
            self._one(chosen_edge)
        self.at(int(self.chance.expovariate(self.rate) * SECOND), self._call)

    def _weight(self, number):
        turn = 2 * math.pi * (self.time / SECOND / self.period - number / len(self.edges))
        return math.exp(self.sharp * math.cos(turn))

    def day(self, days: float = 1.0) -> DayFigures:
        self.open()
        self.run(seconds(3))
        since, calls = self.time, sum(self.traffic.outcomes.values())
        self.run(seconds(self.period * days))
        refused = [moment for moment, *_ in self.traffic.refusals if moment >= since]
        counts: dict[int, int] = {}
        for moment in refused:
            counts[moment // SECOND] = counts.get(moment // SECOND, 0) + 1
        busiest = max(
            max(held.values()) / sum(held.values())
            for second, held in self.per_second.items()
            if second > since // SECOND
        )
        return DayFigures(
            sum(self.traffic.outcomes.values()) - calls,
            len(refused),
            max(counts.values(), default=0),
            busiest,
        )
