"""Measures how the core decides at a deployment's distances, on virtual time with a seed.

Figures: the fast path, NULL decisions, and the time to acceptance.
"""

from dataclasses import dataclass

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import Weather, seconds
from willowpost.state.operations import EvacuateZone


@dataclass(frozen=True, slots=True)
class PaceFigures:
    """The figures of a run.

    Attributes:
        commands: Commands accepted.
        slots: Slots decided.
        null_part: Part of them decided as NULL.
        fast_part: Of the slots that a voter decided by votes, the part decided in the first phase.
        accept_p_50: Median time to acceptance, in ms.
        accept_p_99: 99th percentile of it, in ms.
    """

    commands: int
    slots: int
    null_part: float
    fast_part: float
    accept_p_50: float  # ms
    accept_p_99: float


class PaceMeasure:
    """One run of a core with clients in each zone.

    Args:
        zones: The zone of each store, by number.
        regions: Zone to region.
        between: Extra delay between regions, in µs.
        jitter: Spread of all delays, in µs.
        pace: Timing of the stores' rounds.
        rate: Commands a second.
        seed: Decides all random choices.
    """

    def __init__(
        self,
        zones,
        regions,
        between: int,
        jitter: int,
        pace: ReplicaTuning,
        rate: float,
        seed: int = 1,
    ):
        self.weather = Weather(
            least=100,
            spread=jitter,
            between={
                (a, b): between
                for a in set(regions.values())
                for b in set(regions.values())
                if a != b
            },
        )
        self.world = CoreWorld(seed, self.weather, pace=pace, zones=zones, regions=regions)
        self.regions, self.zones, self.rate = regions, zones, rate
        self.asked: dict[int, int] = {}
        self.took: list[int] = []

    def run(self, span: float = 30.0) -> PaceFigures:
        """Sends commands for `span` seconds of virtual time."""
        world = self.world
        world.until(world.bootstrapped, seconds(10))
        for number, zone in enumerate(self.zones):
            world.add_caller(
                f"r{number}",
                [f"s{number}"] + [name for name in world.names if name != f"s{number}"],
                self.regions[zone],
            )
        world.run(seconds(1))
        end = world.time + seconds(span)
        due = world.time
        while world.time < end:
            due += int(world.chance.expovariate(self.rate) * SECOND)
            while world.time < due:
                world.run(min(MILLISECOND, due - world.time))
                self._collect()
            token = world.ask(
                f"r{world.chance.randrange(len(self.zones))}",
                EvacuateZone(f"z{len(self.asked) % 9}", is_evacuated=True),
            )
            self.asked[token] = world.time
        world.run(seconds(1))
        self._collect()
        node_states = [node_state for _, node_state in world.node_states()]
        latencies = sorted(self.took)
        voted = sum(node_state.statistics.decided_by_votes for node_state in node_states)
        return PaceFigures(
            len(latencies),
            node_states[0].statistics.decided,
            node_states[0].statistics.null / node_states[0].statistics.decided,
            sum(node_state.statistics.fast_path for node_state in node_states) / max(1, voted),
            latencies[len(latencies) // 2] / 1000,
            latencies[int(len(latencies) * 0.99)] / 1000,
        )

    def _collect(self):
        done = [token for token in self.asked if token in self.world.replies]
        self.took += [self.world.time - self.asked.pop(token) for token in done]
