"""The modelled system: what an action leads to, and whether a rule breaks on the way."""

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
from willowpost.model.invariants import (
    check_durability,
    check_read,
    check_restart,
)
from willowpost.model.parts import Parts, Switches, text_of
from willowpost.model.processes import empty_disk, identity_of
from willowpost.model.promises import Promises
from willowpost.model.scope import Passes, Scope, Ticks
from willowpost.model.state_changes import (
    NotPossible,
    spent,
    with_item,
    with_messages,
    without_message,
)
from willowpost.model.steps import SHORT_TICK, TIMED_TICK, Outcome, ProcessSteps
from willowpost.model.system_state import DOWN, GONE, SystemState


class System:
    """The modelled system; states are values, and successor() changes no earlier state."""

    def __init__(self, scope: Scope, switches: Switches | None = None) -> None:
        self.parts = Parts(scope, switches or Switches())
        self.steps = ProcessSteps(self.parts)
        self.enabled = EnabledActions(self.parts, self.steps)
        self.promises = Promises(self.parts)
        self._initial: SystemState | None = None
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
            more = state._replace(ticks=with_item(state.ticks, number, state.ticks[number] + 1))
            return self.successor(more, Tick(step.process))
        for number in sorted(state.network, reverse=True):
            source, target, body = self.parts.messages[number]
            if (source, target, type(body)) == (step.source, step.target, step.kind):
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
        durable_parts = (reached.disks, reached.history)
        if durable_parts not in self._durable:
            check_durability(self.parts.disk_facts(reached), self.parts.histories[reached.history])
            self._durable.add(durable_parts)
        return reached

    def _reached(self, state: SystemState, action: Action) -> SystemState:
        match action:
            case Deliver():
                return self._deliver(state, action)
            case Lose():
                number = self._in_flight(state, action)
                return spent(state, "losses")._replace(
                    network=without_message(state.network, number)
                )
            case CrashOnDelivery() | CrashAfterSending():
                return self._crash_on_delivery(state, action)
            case Tick(name, timed):
                return self._tick(state, name, timed)
            case Crash(name):
                self._running(state, name)
                down = with_item(state.processes, self.parts.index[name], DOWN)
                return spent(state, "crashes")._replace(processes=down)
            case Restart(name):
                return self._restart(state, name)
            case Wipe(name):
                return self._wipe(state, name)
            case Remove(name):
                return self._remove(state, name)
            case Cut(source, target):
                return spent(state, "cuts")._replace(cuts=state.cuts | {(source, target)})
            case Heal():
                return spent(state, "heals")._replace(cuts=frozenset())

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
        return network if self.parts.scope.messages_stay else without_message(network, number)

    def _deliver(self, state: SystemState, action: Deliver) -> SystemState:
        number = self._in_flight(state, action)
        process = self._running(state, action.target)
        if (action.source, action.target) in state.cuts:
            raise NotPossible("the link is cut")
        if action.keep:
            state = spent(state, "duplicates")
        else:
            state = state._replace(network=self._after_delivery(state.network, number))
        return self._carried_out(state, action.target, self.steps.need(process, number))

    def _tick(self, state: SystemState, name: str, timed: bool) -> SystemState:
        process, number = self._running(state, name), self.parts.index[name]
        if timed:
            if not state.ticks[number]:
                raise NotPossible(f"{name} has no timed tick left")
            history = state.history
            if self.parts.reads(name):
                begun = self.parts.histories[history].with_read_begun(name)
                history = self.parts.histories.number(begun, begun)
            ticks = with_item(state.ticks, number, state.ticks[number] - 1)
            state = state._replace(ticks=ticks, history=history)
        else:
            state = spent(state, "short_ticks")
        return self._carried_out(
            state, name, self.steps.need(process, TIMED_TICK if timed else SHORT_TICK)
        )

    def _carried_out(self, state: SystemState, name: str, outcome: Outcome) -> SystemState:
        number = self.parts.index[name]
        if outcome.changes_nothing and outcome.image == state.processes[number]:
            return state
        history = self.promises.after_step(state.history, name, outcome)
        if outcome.completed_read:
            slot = self.parts.images[outcome.image].node_state.tables.slot
            check_read(slot, self.parts.histories[state.history], name)
        disks = state.disks
        if outcome.writes:
            disks = with_item(disks, number, self._written(disks[number], outcome, outcome.writes))
        return state._replace(
            processes=with_item(state.processes, number, outcome.image),
            disks=disks,
            network=with_messages(state.network, outcome.messages),
            history=history,
        )

    def _written(self, disk: int, outcome: Outcome, count: int) -> int:
        return self.parts.number_disk(outcome.on_disk(self.parts.disks[disk], count))

    def _crash_on_delivery(
        self, state: SystemState, action: CrashOnDelivery | CrashAfterSending
    ) -> SystemState:
        number = self._in_flight(state, action)
        process, target = self._running(state, action.target), self.parts.index[action.target]
        outcome = self.steps.need(process, number)
        network, history = self._after_delivery(state.network, number), state.history
        written = 0
        if isinstance(action, CrashOnDelivery):
            written = min(action.written, outcome.writes)
        else:
            network = with_messages(network, outcome.messages)
            sent = replace(outcome, records=(), rotate=None)
            after = self.promises.after_saying(self.parts.histories[history], action.target, sent)
            history = self.parts.histories.number(after, after)
        disk = self._written(state.disks[target], outcome, written)
        return spent(state, "torn")._replace(
            processes=with_item(state.processes, target, DOWN),
            disks=with_item(state.disks, target, disk),
            network=network,
            history=history,
        )

    def _restart(self, state: SystemState, name: str) -> SystemState:
        number = self.parts.index[name]
        if state.processes[number] != DOWN:
            raise NotPossible(f"{name} is not down")
        disk, life = state.disks[number], state.lives[number] + 1
        check_restart(self.parts.facts(disk), self.parts.histories[state.history], name)
        return state._replace(
            processes=with_item(state.processes, number, self.steps.start(number, disk, life)),
            lives=with_item(state.lives, number, life),
        )

    def _wipe(self, state: SystemState, name: str) -> SystemState:
        number = self.parts.index[name]
        if state.processes[number] == GONE or not self.enabled.bears_loss(state, number):
            raise NotPossible(f"the loss of {name} is beyond f")
        lost = state.disks_lost[number] + 1
        records = empty_disk(self.parts.scope.machines[number], lost)
        if self.parts.switches.reuse_identity:
            records = [{**records[0], "identity": identity_of(name, 0)}]
        disk = self.parts.number_disk(tuple(map(text_of, records)))
        life = state.lives[number] + 1
        return spent(state, "wipes")._replace(
            processes=with_item(state.processes, number, self.steps.start(number, disk, life)),
            disks=with_item(state.disks, number, disk),
            lives=with_item(state.lives, number, life),
            disks_lost=with_item(state.disks_lost, number, lost),
        )

    def _remove(self, state: SystemState, name: str) -> SystemState:
        number = self.parts.index[name]
        if state.processes[number] == GONE or not self.enabled.is_replaced(state, number):
            raise NotPossible(f"{name} was not replaced")
        return spent(state, "removals")._replace(
            processes=with_item(state.processes, number, GONE),
            disks=with_item(state.disks, number, GONE),
        )
