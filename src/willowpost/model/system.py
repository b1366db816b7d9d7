"""The modelled system: what an action leads to, and whether a rule breaks on the way."""

import json
from collections.abc import Iterator
from dataclasses import replace

from willowpost.model.actions import (
    Action,
    Crash,
    CrashAfterSending,
    CrashOnDelivery,
    Cut,
    Deliver,
    Delivery,
    Heal,
    Lose,
    Remove,
    Restart,
    Tick,
    Wipe,
)
from willowpost.model.beginning import first_state
from willowpost.model.enabled import EnabledActions
from willowpost.model.history import History
from willowpost.model.invariants import (
    check_durability,
    check_read,
    check_restart,
    record_configuration,
    record_decisions,
    record_message,
)
from willowpost.model.parts import Parts, Switches, text_of
from willowpost.model.processes import READER, empty_disk, identity_of
from willowpost.model.scope import READS_OFF, Passes, Scope, Ticks
from willowpost.model.steps import SHORT_TICK, TIMED_TICK, Outcome, ProcessSteps
from willowpost.model.system_state import DOWN, GONE, SystemState


class NotPossible(Exception):
    """The action cannot happen in this state."""


class System:
    """Invariant: states are values; nothing that `successor` does changes an earlier state."""

    def __init__(self, scope: Scope, switches: Switches | None = None) -> None:
        self.parts = Parts(scope, switches or Switches())
        self.steps = ProcessSteps(self.parts)
        self.enabled = EnabledActions(self.parts, self.steps)
        self._initial: SystemState | None = None
        self._recordings: dict[tuple[int, str, int], int] = {}
        self._durable: set[tuple[tuple[int, ...], int]] = set()

    def actions(self, state: SystemState, exact: bool = True) -> Iterator[Action]:
        """Everything that may happen next; see `EnabledActions.actions`."""
        return self.enabled.actions(state, exact)

    def initial(self) -> SystemState:
        """The state that the scope describes, after its opening.

        Raises:
            NotPossible: a step of the opening cannot happen.
            Violation: an invariant does not hold on the way.
        """
        if self._initial is None:
            state = first_state(self.parts, self.steps)
            for step in self.parts.scope.opening:
                state = self._opened(state, step)
            self._initial = state._replace(cuts=self.parts.scope.cuts)
        return self._initial

    def _opened(self, state: SystemState, step: Passes | Ticks) -> SystemState:
        if isinstance(step, Ticks):
            number = self.parts.index[step.process]
            more = state._replace(ticks=_set(state.ticks, number, state.ticks[number] + 1))
            return self.successor(more, Tick(step.process))
        for number in sorted(state.network, reverse=True):
            source, target, body = self.parts.messages[number]
            if (source, target, type(body).__name__) == (step.source, step.target, step.kind):
                return self.successor(
                    state, Deliver(source, target, self.parts.message_text(number))
                )
        raise NotPossible(f"no message for {step}")

    def successor(self, state: SystemState, action: Action) -> SystemState:
        """The state after the action.

        Raises:
            NotPossible: the action cannot happen in this state.
            Violation: an invariant does not hold in or on the way to the next state.
        """
        reached = self._reached(state, action)
        held = (reached.disks, reached.history)
        if held not in self._durable:
            check_durability(self.parts.disk_facts(reached), self.parts.histories[reached.history])
            self._durable.add(held)
        return reached

    def _reached(self, state: SystemState, action: Action) -> SystemState:
        match action:
            case Deliver():
                return self._deliver(state, action)
            case Lose():
                self._spend(state.budget.losses)
                number = self._in_flight(state, action)
                budget = state.budget._replace(losses=state.budget.losses - 1)
                return state._replace(network=_without(state.network, number), budget=budget)
            case CrashOnDelivery() | CrashAfterSending():
                return self._crash_on_delivery(state, action)
            case Tick(name, timed):
                return self._tick(state, name, timed)
            case Crash(name):
                self._spend(state.budget.crashes)
                self._running(state, name)
                budget = state.budget._replace(crashes=state.budget.crashes - 1)
                return state._replace(
                    processes=_set(state.processes, self.parts.index[name], DOWN), budget=budget
                )
            case Restart(name):
                return self._restart(state, name)
            case Wipe(name):
                return self._wipe(state, name)
            case Remove(name):
                return self._remove(state, name)
            case Cut(source, target):
                self._spend(state.budget.cuts)
                budget = state.budget._replace(cuts=state.budget.cuts - 1)
                return state._replace(cuts=state.cuts | {(source, target)}, budget=budget)
            case Heal():
                self._spend(state.budget.heals)
                budget = state.budget._replace(heals=state.budget.heals - 1)
                return state._replace(cuts=frozenset(), budget=budget)

    def _spend(self, left: int) -> None:
        if not left:
            raise NotPossible("the scope's budget for this is spent")

    def _running(self, state: SystemState, name: str) -> int:
        process = state.processes[self.parts.index[name]]
        if process < 0:
            raise NotPossible(f"{name} is not running")
        return process

    def _in_flight(self, state: SystemState, action: Delivery) -> int:
        number = self.parts.message_number(action.source, action.target, action.message)
        if number is None or number not in state.network:
            raise NotPossible("no such message is in flight")
        return number

    def _after_delivery(self, network: tuple[int, ...], number: int) -> tuple[int, ...]:
        return network if self.parts.scope.messages_stay else _without(network, number)

    def _deliver(self, state: SystemState, action: Deliver) -> SystemState:
        number = self._in_flight(state, action)
        process = self._running(state, action.target)
        if (action.source, action.target) in state.cuts:
            raise NotPossible("the link is cut")
        if action.keep:
            self._spend(state.budget.duplicates)
            budget = state.budget._replace(duplicates=state.budget.duplicates - 1)
            state = state._replace(budget=budget)
        else:
            state = state._replace(network=self._after_delivery(state.network, number))
        return self._carried_out(state, action.target, self.steps.need(process, number))

    def _tick(self, state: SystemState, name: str, timed: bool) -> SystemState:
        process, number = self._running(state, name), self.parts.index[name]
        if timed:
            self._spend(state.ticks[number])
            history = state.history
            if self._reads(name):
                begun = self.parts.histories[history].with_read_begun(name)
                history = self.parts.histories.number(begun, begun)
            ticks = _set(state.ticks, number, state.ticks[number] - 1)
            state = state._replace(ticks=ticks, history=history)
        else:
            self._spend(state.budget.short_ticks)
            budget = state.budget._replace(short_ticks=state.budget.short_ticks - 1)
            state = state._replace(budget=budget)
        return self._carried_out(
            state, name, self.steps.need(process, TIMED_TICK if timed else SHORT_TICK)
        )

    def _reads(self, name: str) -> bool:
        return name == READER or (
            name in self.parts.stores and self.parts.scope.pace.read != READS_OFF
        )

    def _carried_out(self, state: SystemState, name: str, outcome: Outcome) -> SystemState:
        number = self.parts.index[name]
        if outcome.changes_nothing and outcome.image == state.processes[number]:
            return state
        history = self._recorded(state.history, name, outcome)
        if outcome.completed_read:
            slot = self.parts.images[outcome.image].node_state.tables.slot
            check_read(slot, self.parts.histories[state.history], name)
        disks = state.disks
        if outcome.writes:
            disks = _set(disks, number, self._written(disks[number], outcome, outcome.writes))
        return state._replace(
            processes=_set(state.processes, number, outcome.image),
            disks=disks,
            network=_with(state.network, outcome.messages),
            history=history,
        )

    def _recorded(self, history: int, name: str, outcome: Outcome) -> int:
        """The history once this outcome's records are written and its messages have left."""
        key = (history, name, id(outcome))  # outcomes are kept, so their ids are not used again
        if key not in self._recordings:
            after = self._history_after(self.parts.histories[history], name, outcome)
            self._recordings[key] = self.parts.histories.number(after, after)
        return self._recordings[key]

    def _history_after(self, history: History, name: str, outcome: Outcome) -> History:
        if name in self.parts.clients:
            return history
        records = [json.loads(line) for line in outcome.records]
        history = record_decisions(history, records, name)
        history = record_configuration(
            history, self.parts.images[outcome.image].node_state.tables, name
        )
        if name in self.parts.stores:
            for message in outcome.messages:
                history = record_message(
                    history, self.parts.messages[message][2], name, self.parts.operations
                )
        return history

    def _written(self, disk: int, outcome: Outcome, count: int) -> int:
        """The disk once the first `count` writes of the step are on it."""
        lines = self.parts.disks[disk]
        if outcome.rotate is not None:
            if not count:
                return disk
            lines, count = outcome.rotate, count - 1
        return self.parts.number_disk(lines + outcome.records[:count])

    def _crash_on_delivery(
        self, state: SystemState, action: CrashOnDelivery | CrashAfterSending
    ) -> SystemState:
        self._spend(state.budget.torn)
        number = self._in_flight(state, action)
        process, target = self._running(state, action.target), self.parts.index[action.target]
        outcome = self.steps.need(process, number)
        network, history = self._after_delivery(state.network, number), state.history
        written = 0
        if isinstance(action, CrashOnDelivery):
            written = min(action.written, outcome.writes)
        else:
            network = _with(network, outcome.messages)
            sent = replace(outcome, records=(), rotate=None)
            after = self._history_after(self.parts.histories[history], action.target, sent)
            history = self.parts.histories.number(after, after)
        disk = self._written(state.disks[target], outcome, written)
        return state._replace(
            processes=_set(state.processes, target, DOWN),
            disks=_set(state.disks, target, disk),
            network=network,
            history=history,
            budget=state.budget._replace(torn=state.budget.torn - 1),
        )

    def _restart(self, state: SystemState, name: str) -> SystemState:
        number = self.parts.index[name]
        if state.processes[number] != DOWN:
            raise NotPossible(f"{name} is not down")
        disk, life = state.disks[number], state.lives[number] + 1
        check_restart(self.parts.facts(disk), self.parts.histories[state.history], name)
        return state._replace(
            processes=_set(state.processes, number, self.steps.start(number, disk, life)),
            lives=_set(state.lives, number, life),
        )

    def _wipe(self, state: SystemState, name: str) -> SystemState:
        self._spend(state.budget.wipes)
        number = self.parts.index[name]
        if state.processes[number] == GONE or not self.enabled.bears_loss(state, number):
            raise NotPossible(f"the loss of {name} is beyond f")
        lost = state.disks_lost[number] + 1
        records = empty_disk(self.parts.scope.machines[number], lost)
        if self.parts.switches.reuse_identity:
            records = [{**records[0], "identity": identity_of(name, 0)}]
        disk = self.parts.number_disk(tuple(map(text_of, records)))
        life = state.lives[number] + 1
        return state._replace(
            processes=_set(state.processes, number, self.steps.start(number, disk, life)),
            disks=_set(state.disks, number, disk),
            lives=_set(state.lives, number, life),
            disks_lost=_set(state.disks_lost, number, lost),
            budget=state.budget._replace(wipes=state.budget.wipes - 1),
        )

    def _remove(self, state: SystemState, name: str) -> SystemState:
        self._spend(state.budget.removals)
        number = self.parts.index[name]
        if state.processes[number] == GONE or not self.enabled.is_replaced(state, number):
            raise NotPossible(f"{name} was not replaced")
        return state._replace(
            processes=_set(state.processes, number, GONE),
            disks=_set(state.disks, number, GONE),
            budget=state.budget._replace(removals=state.budget.removals - 1),
        )


def _set(held: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*held[:index], value, *held[index + 1 :])


def _with(network: tuple[int, ...], messages: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(sorted({*network, *messages})) if messages else network


def _without(network: tuple[int, ...], number: int) -> tuple[int, ...]:
    return tuple(held for held in network if held != number)
