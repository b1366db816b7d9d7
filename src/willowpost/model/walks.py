"""Seeded random walks, for scopes too large to search."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from willowpost.model.actions import Action, CrashOnDelivery, Deliver
from willowpost.model.invariants import InvariantViolationError
from willowpost.model.replay import shorten
from willowpost.model.search import PROGRESS_INTERVAL_SECONDS, Counterexample
from willowpost.model.system import System

# A walk delivers so much more often than it breaks something, so that commands get through.
_DELIVERY_WEIGHT = 12
# There are several such crashes for each message in flight.
_CRASH_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class WalkProgress:
    """How many walks ended, with how many steps in all."""

    walks: int
    steps: int
    seconds: float


@dataclass(frozen=True, slots=True)
class WalkResult:
    """What the walks found; the counterexample is shortened."""

    progress: WalkProgress
    counterexample: Counterexample | None


def _ignore_progress(_: WalkProgress) -> None:
    return None


class RandomWalks:
    """Takes random walks.

    The same seed gives the same walks, whatever was walked before.
    """

    def __init__(
        self,
        system: System,
        depth: int,
        seed: int,
        report: Callable[[WalkProgress], None] = _ignore_progress,
    ) -> None:
        self.system = system
        self.depth = depth
        self.seed = seed
        self.report = report
        self._steps = 0

    def run(self, walks: int, seconds: float | None = None) -> WalkResult:
        """Up to so many walks; ends at the first violation, or when the time is over."""
        started_at = reported_at = time.monotonic()
        for number in range(walks):
            counterexample = self._walk(random.Random(f"{self.seed}/{number}"))
            now = time.monotonic()
            progress = WalkProgress(number + 1, self._steps, now - started_at)
            if counterexample is not None:
                return WalkResult(progress, shorten(self.system, counterexample))
            if seconds is not None and now - started_at >= seconds:
                return WalkResult(progress, None)
            if now - reported_at >= PROGRESS_INTERVAL_SECONDS:
                reported_at = now
                self.report(progress)
        return WalkResult(WalkProgress(walks, self._steps, time.monotonic() - started_at), None)

    def _walk(self, rng: random.Random) -> Counterexample | None:
        state = self.system.initial()
        taken: list[Action] = []
        for _ in range(self.depth):
            actions = list(self.system.actions(state, exact=False))
            if not actions:
                return None
            action = self._choose(rng, actions)
            self._steps += 1
            try:
                state = self.system.successor(state, action)
            except InvariantViolationError as violation:
                return Counterexample(violation.rule, str(violation), (*taken, action))
            taken.append(action)
        return None

    def _choose(self, rng: random.Random, actions: list[Action]) -> Action:
        return rng.choices(actions, [_weight(action) for action in actions])[0]


def _weight(action: Action) -> float:
    match action:
        case Deliver(keep=False):
            return _DELIVERY_WEIGHT
        case CrashOnDelivery():
            return _CRASH_WEIGHT
    return 1
