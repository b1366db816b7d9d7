"""How many are enough. n comes from the epoch in force; f is what n bears."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Thresholds:
    """Invariant: n >= 2f + 1, so any two sets of n - f share a replica."""

    n: int

    @property
    def f(self) -> int:
        return (self.n - 1) // 2

    @property
    def heard(self) -> int:
        """How many must have spoken before a step is taken (paper: n - f)."""
        return self.n - self.f

    @property
    def majority(self) -> int:
        return self.n // 2 + 1

    @property
    def decides(self) -> int:
        """Equal votes that decide a slot (paper: f + 1)."""
        return self.f + 1
