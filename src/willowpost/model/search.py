"""Breadth-first search through every state of a scope: the first violation found is a shortest."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from willowpost.model.actions import Action
from willowpost.model.invariants import InvariantViolationError
from willowpost.model.system import System
from willowpost.model.system_state import SystemState

PROGRESS_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A violation and the actions that lead to it from the scope's first state."""

    rule: str
    text: str
    actions: tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class Limits:
    """When a search ends before it has seen every state of the scope; None: never."""

    depth: int | None = None
    states: int | None = None
    seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a search has come."""

    states: int
    transitions: int
    depth: int  # all states that fewer actions reach have been expanded
    waiting: int  # states found and not expanded yet
    seconds: float


@dataclass(frozen=True, slots=True)
class SearchResult:
    """`complete`: every state of the scope was expanded, or a counterexample ended the search."""

    progress: Progress
    complete: bool
    counterexample: Counterexample | None


def _ignore_progress(_: Progress) -> None:
    return None


class BreadthFirstSearch:
    """Expands each state once, after all states that fewer actions reach."""

    def __init__(
        self,
        system: System,
        limits: Limits | None = None,
        report: Callable[[Progress], None] = _ignore_progress,
    ) -> None:
        self.system = system
        self.limits = limits or Limits()
        self.report = report
        self._parents: list[tuple[int, Action | None]] = []
        self._seen: set[bytes] = set()
        self._level: list[tuple[SystemState, int]] = []
        self._next_level: list[tuple[SystemState, int]] = []
        self._transitions = 0
        self._depth = 0
        self._started_at = 0.0
        self._reported_at = 0.0

    def run(self) -> SearchResult:
        """Searches until a violation, the end of the scope, or a limit."""
        self._started_at = self._reported_at = time.monotonic()
        self._add(self.system.initial(), -1, None)
        while self._next_level:
            if self.limits.depth is not None and self._depth >= self.limits.depth:
                return self._result(False, None)
            self._level, self._next_level = self._next_level, []
            for state, index in self._level:
                if self._limit_reached():
                    return self._result(False, None)
                counterexample = self._expand(state, index)
                if counterexample is not None:
                    return self._result(True, counterexample)
            self._depth += 1
        return self._result(True, None)

    def _add(self, state: SystemState, parent: int, action: Action | None) -> None:
        digest = state.digest()
        if digest in self._seen:
            return
        self._seen.add(digest)
        self._parents.append((parent, action))
        self._next_level.append((state, len(self._parents) - 1))

    def _expand(self, state: SystemState, index: int) -> Counterexample | None:
        for action in self.system.actions(state):
            self._transitions += 1
            try:
                reached = self.system.successor(state, action)
            except InvariantViolationError as violation:
                actions = (*self._path(index), action)
                return Counterexample(violation.rule, str(violation), actions)
            if reached is not state:
                self._add(reached, index, action)
        return None

    def _path(self, index: int) -> list[Action]:
        actions: list[Action] = []
        while index >= 0:
            index, action = self._parents[index]
            if action is not None:
                actions.append(action)
        return actions[::-1]

    def _limit_reached(self) -> bool:
        now = time.monotonic()
        if now - self._reported_at >= PROGRESS_INTERVAL_SECONDS:
            self._reported_at = now
            self.report(self._progress())
        states, seconds = self.limits.states, self.limits.seconds
        return (states is not None and len(self._seen) >= states) or (
            seconds is not None and now - self._started_at >= seconds
        )

    def _progress(self) -> Progress:
        return Progress(
            len(self._seen),
            self._transitions,
            self._depth,
            len(self._next_level),
            time.monotonic() - self._started_at,
        )

    def _result(self, complete: bool, counterexample: Counterexample | None) -> SearchResult:
        return SearchResult(self._progress(), complete, counterexample)
