"""A machine's process in the simulator, and the network between machines."""

from dataclasses import dataclass, field

from willowpost.sim.disk import SimDisk


@dataclass(slots=True)
class Weather:
    """How the network behaves.

    Attributes:
        least: The smallest delay, in µs.
        spread: The range of the random delay added to it, in µs.
        drop: Probability that a message is lost.
        twice: Probability that a message is sent twice.
        between: (region, region) to extra delay, in µs.
    """

    least: int = 200
    spread: int = 800
    drop: float = 0.0
    twice: float = 0.0
    between: dict = field(default_factory=dict)  # (region, region) -> extra delay


@dataclass(slots=True)
class Seat:
    """One machine's process: its node while it is up, its disk, its clocks.

    The node takes no step while `pending_write` is not None. All times are in µs.
    """

    address: str
    region: str
    build: object  # (records, now, wall, incarnation) -> node
    disk: SimDisk = field(default_factory=SimDisk)
    node: object = None
    incarnation: int = 0
    clock_base: int = 0
    wall_skew: int = 0
    frozen_until: int = 0
    crash_on_write: float = 0.0
    dark: bool = False  # the machine has no power: nothing refuses connections for it
    retired: bool = False  # the machine is gone for good
    pending_write: object = None  # the plan whose records a slow or stalled disk is writing
    written_at: int = 0  # when that write ends
    step_span: int = 0  # how long a step takes on a machine that runs slowly, in µs
    busy_until: int = 0  # when such a step ends

    def held_until(self, time: int) -> int:
        """When the node may take its next step: `time`, or the end of a freeze, step or write."""
        written = max(self.written_at, time) + 1 if self.pending_write is not None else 0
        return max(self.frozen_until, self.busy_until, written, time)
