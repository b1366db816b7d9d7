"""Single steps of single processes, each taken once and cached."""

import json
from dataclasses import dataclass, replace
from typing import Any

from willowpost.common.events import Received
from willowpost.common.events import Tick as TickEvent
from willowpost.model.components import StateComponents, text_of
from willowpost.model.invariants import PROCESS_FAILURE, InvariantViolationError, check_progress
from willowpost.model.logical_time import NOW, aged
from willowpost.model.process_image import copy_of
from willowpost.model.processes import READER, build_store
from willowpost.wire.messages import StateUpdate

TIMED_TICK = -1  # instead of a message's number
SHORT_TICK = -2


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one step of one process did: its next image, and what it wants done."""

    image: int
    records: tuple[str, ...]  # JSON texts
    rotate: tuple[str, ...] | None
    messages: tuple[int, ...]
    completed_read: bool

    @property
    def changes_nothing(self) -> bool:
        """Whether nothing is to be written or sent."""
        return not (self.messages or self.records) and self.rotate is None

    @property
    def writes(self) -> int:
        """How many records the step writes; a new segment counts as one."""
        return len(self.records) + (self.rotate is not None)

    def on_disk(self, lines: tuple[str, ...], count: int) -> tuple[str, ...]:
        """The records of a disk once the first `count` writes of the step are on it."""
        if self.rotate is None:
            return lines + self.records[:count]
        return self.rotate + self.records[: count - 1] if count else lines


class ProcessSteps:
    """Takes steps; the outcome depends on the process and the event alone, and is cached."""

    def __init__(self, components: StateComponents) -> None:
        self.components = components
        self._outcomes: dict[tuple[int, int], Outcome | InvariantViolationError] = {}
        self.taken = 0  # those looked up again do not count

    def require_outcome(self, process: int, event: int) -> Outcome:
        """The same as `outcome`.

        Raises:
            InvariantViolationError: the step breaks a rule.
        """
        outcome = self.outcome(process, event)
        if isinstance(outcome, InvariantViolationError):
            raise outcome
        return outcome

    def outcome(self, process: int, event: int) -> Outcome | InvariantViolationError:
        """What the step of this process does; `event` is a message's number or a kind of tick."""
        key = (process, event)
        known = self._outcomes.get(key)
        if known is None:
            known = self._outcomes[key] = self._step(process, event)
        return known

    def _step(self, process: int, number: int) -> Outcome | InvariantViolationError:
        self.taken += 1
        timed = number == TIMED_TICK
        before = self.components.images[process]
        after = copy_of(before, aged) if timed else copy_of(before)
        name = _name_of(after)
        try:
            plan = after.step(self._event(name, number), NOW)
        except Exception as problem:  # whatever it is, the daemon would end by it
            return InvariantViolationError(PROCESS_FAILURE, f"{name}: {problem!r}")
        completed = False
        if hasattr(after, "node_state"):
            completed = after.node_state.fresh_as_of == NOW and (
                timed or before.node_state.fresh_as_of != NOW
            )
            try:
                check_progress(before.node_state, after.node_state, name)
            except InvariantViolationError as violation:
                return violation
        return Outcome(
            image=self.components.intern_image(after),
            records=tuple(map(text_of, plan.records)),
            rotate=None if plan.rotate is None else tuple(map(text_of, plan.rotate)),
            messages=tuple(dict.fromkeys(self.components.intern_sends(name, plan))),
            completed_read=completed,
        )

    def _event(self, name: str, number: int) -> Received | TickEvent:
        if number < 0:
            return TickEvent()
        source, _, message = self.components.messages[number]
        return Received(source, _without_freshness(message) if name == READER else message)

    def start(self, number: int, disk: int, incarnation_count: int) -> int:
        """The number of a store's process that starts from this disk.

        Raises:
            InvariantViolationError: it cannot start.
        """
        records = [json.loads(line) for line in self.components.disks[disk]]
        machine = self.components.scope.machines[number]
        try:
            store = build_store(
                self.components.scope,
                machine,
                records,
                incarnation_count,
                self.components.switches.thresholds,
            )
        except Exception as problem:  # whatever it is, the daemon would not start
            raise InvariantViolationError(
                PROCESS_FAILURE, f"{machine.name} cannot start: {problem!r}"
            ) from problem
        return self.components.intern_image(store)


def _name_of(process: Any) -> str:
    descriptor = getattr(process, "descriptor", None) or getattr(
        getattr(process, "node_state", None), "descriptor", None
    )
    return str(descriptor.name if descriptor is not None else process.daemon)


def _without_freshness(message: Any) -> Any:
    """A store's own age is not taken over: only quorum reads make the reader fresh."""
    return replace(message, is_fresh=False) if isinstance(message, StateUpdate) else message
