"""A shortened day: load moves from zone to zone, and the quota shares must follow it."""

import math
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds


@dataclass(frozen=True, slots=True)
class DayFigures:
    """The figures of a run.

    Attributes:
        calls: Requests that were answered or dropped.
        refused: Requests answered with a status of 500 or more.
        worst_second: The most of these in one second.
        busiest_part: The largest part of all requests that one edge got in one second.
    """

    calls: int
    refused: int
    worst_second: int  # refusals in the worst second
    busiest_part: float  # the most of all calls that one edge got in a second


class DayWorld(FleetWorld):
    """A fleet with a steady total load that moves once round all edges in `period` seconds.

    Args:
        seed: Decides all random choices.
        period: Length of a day, in seconds.
        rate: Requests a second in all.
        sharp: How strongly the load concentrates on the edge whose time it is; 0 spreads it evenly.
        **more: Further arguments of FleetWorld.
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
            calls_of_edges = self.per_second.setdefault(self.time // SECOND, {})
            calls_of_edges[chosen_edge] = calls_of_edges.get(chosen_edge, 0) + 1
            self._one(chosen_edge)
        self.at(int(self.chance.expovariate(self.rate) * SECOND), self._call)

    def _weight(self, number):
        turn = 2 * math.pi * (self.time / SECOND / self.period - number / len(self.edges))
        return math.exp(self.sharp * math.cos(turn))

    def day(self, days: float = 1.0) -> DayFigures:
        """Starts the fleet and runs for so many days."""
        self.open()
        self.run(seconds(3))
        since, calls = self.time, sum(self.traffic.outcomes.values())
        self.run(seconds(self.period * days))
        refused = [moment for moment, *_ in self.traffic.refusals if moment >= since]
        counts: dict[int, int] = {}
        for moment in refused:
            counts[moment // SECOND] = counts.get(moment // SECOND, 0) + 1
        busiest = max(
            max(calls_of_edges.values()) / sum(calls_of_edges.values())
            for second, calls_of_edges in self.per_second.items()
            if second > since // SECOND
        )
        return DayFigures(
            sum(self.traffic.outcomes.values()) - calls,
            len(refused),
            max(counts.values(), default=0),
            busiest,
        )
