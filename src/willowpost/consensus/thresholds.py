"""The quorum sizes of Rabia (Algorithm 2), for n voters of which f may fail."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Thresholds:
    """Quorum sizes for n voters; n >= 2f + 1, so any two sets of n - f share a voter.

    Attributes:
        n: the number of voters of the epoch in force.
    """

    n: int

    @property
    def f(self) -> int:
        """How many voters may fail without stopping the log."""
        return (self.n - 1) // 2

    @property
    def quorum(self) -> int:
        """From how many voters messages must have arrived before a step (paper: n - f)."""
        return self.n - self.f

    @property
    def majority(self) -> int:
        """How many equal proposals or states make a majority: more than half of n."""
        return self.n // 2 + 1

    @property
    def deciding_votes(self) -> int:
        """How many equal votes decide a slot (paper: f + 1)."""
        return self.f + 1
