"""Transitions: the state that an action leads to."""

from dataclasses import replace

from willowpost.model.actions import (
    Action,
    BlockLink,
    Crash,
    CrashAfterSending,
    CrashOnDelivery,
    Deliver,
    Delivery,
    Heal,
    Lose,
    Remove,
    Restart,
    Tick,
    Wipe,
)
from willowpost.model.components import StateComponents, text_of
from willowpost.model.enabled_actions import EnabledActions
from willowpost.model.history_updates import HistoryUpdates
from willowpost.model.invariants import (
    check_read,
    check_restart,
)
from willowpost.model.processes import empty_disk, identity_of
from willowpost.model.state_changes import (
    ActionNotPossibleError,
    spent,
    with_item,
    with_messages,
    without_message,
)
from willowpost.model.steps import SHORT_TICK, TIMED_TICK, Outcome, ProcessSteps
from willowpost.model.system_state import DOWN, GONE, SystemState


class Transitions:
    """Applies actions to states; states are values, and no earlier state changes."""

    def __init__(
        self, components: StateComponents, steps: ProcessSteps, enabled: EnabledActions
    ) -> None:
        self.components = components
        self.steps = steps
        self.enabled = enabled
        self.history_updates = HistoryUpdates(components)

    def apply(self, state: SystemState, action: Action) -> SystemState:
        """The state after the action; durability is not checked here.

        Raises:
            ActionNotPossibleError: the action cannot happen in this state.
            InvariantViolationError: an invariant does not hold on the way.
        """
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
                down = with_item(state.processes, self.components.index[name], DOWN)
                return spent(state, "crashes")._replace(processes=down)
            case Restart(name):
                return self._restart(state, name)
            case Wipe(name):
                return self._wipe(state, name)
            case Remove(name):
                return self._remove(state, name)
            case BlockLink(source, target):
                return spent(state, "blocked_links")._replace(
                    blocked_links=state.blocked_links | {(source, target)}
                )
            case Heal():
                return spent(state, "heals")._replace(blocked_links=frozenset())

    def _running(self, state: SystemState, name: str) -> int:
        process = state.processes[self.components.index[name]]
        if process < 0:
            raise ActionNotPossibleError(f"{name} is not running")
        return process

    def _in_flight(self, state: SystemState, action: Delivery) -> int:
        number = self.components.message_number(action.source, action.target, action.message)
        if number is None or number not in state.network:
            raise ActionNotPossibleError("no such message is in flight")
        return number

    def _after_delivery(self, network: tuple[int, ...], number: int) -> tuple[int, ...]:
        return network if self.components.scope.messages_stay else without_message(network, number)

    def _deliver(self, state: SystemState, action: Deliver) -> SystemState:
        number = self._in_flight(state, action)
        process = self._running(state, action.target)
        if (action.source, action.target) in state.blocked_links:
            raise ActionNotPossibleError("the link is blocked")
        if action.keep:
            state = spent(state, "duplicates")
        else:
            state = state._replace(network=self._after_delivery(state.network, number))
        return self._apply_outcome(
            state, action.target, self.steps.require_outcome(process, number)
        )

    def _tick(self, state: SystemState, name: str, timed: bool) -> SystemState:
        process, number = self._running(state, name), self.components.index[name]
        if timed:
            if not state.ticks[number]:
                raise ActionNotPossibleError(f"{name} has no timed tick left")
            history = state.history
            if self.components.reads(name):
                started = self.components.histories[history].with_read_started(name)
                history = self.components.histories.intern(started, started)
            ticks = with_item(state.ticks, number, state.ticks[number] - 1)
            state = state._replace(ticks=ticks, history=history)
        else:
            state = spent(state, "short_ticks")
        return self._apply_outcome(
            state, name, self.steps.require_outcome(process, TIMED_TICK if timed else SHORT_TICK)
        )

    def _apply_outcome(self, state: SystemState, name: str, outcome: Outcome) -> SystemState:
        number = self.components.index[name]
        if outcome.changes_nothing and outcome.image == state.processes[number]:
            return state
        history = self.history_updates.after_step(state.history, name, outcome)
        if outcome.completed_read:
            slot = self.components.images[outcome.image].node_state.tables.slot
            check_read(slot, self.components.histories[state.history], name)
        disks = state.disks
        if outcome.writes:
            disks = with_item(
                disks, number, self._disk_after(disks[number], outcome, outcome.writes)
            )
        return state._replace(
            processes=with_item(state.processes, number, outcome.image),
            disks=disks,
            network=with_messages(state.network, outcome.messages),
            history=history,
        )

    def _disk_after(self, disk: int, outcome: Outcome, count: int) -> int:
        return self.components.intern_disk(outcome.on_disk(self.components.disks[disk], count))

    def _crash_on_delivery(
        self, state: SystemState, action: CrashOnDelivery | CrashAfterSending
    ) -> SystemState:
        number = self._in_flight(state, action)
        process, target = self._running(state, action.target), self.components.index[action.target]
        outcome = self.steps.require_outcome(process, number)
        network, history = self._after_delivery(state.network, number), state.history
        written_count = 0
        if isinstance(action, CrashOnDelivery):
            written_count = min(action.written, outcome.writes)
        else:
            network = with_messages(network, outcome.messages)
            sent = replace(outcome, records=(), rotate=None)
            after = self.history_updates.after_sending(
                self.components.histories[history], action.target, sent
            )
            history = self.components.histories.intern(after, after)
        disk = self._disk_after(state.disks[target], outcome, written_count)
        return spent(state, "torn")._replace(
            processes=with_item(state.processes, target, DOWN),
            disks=with_item(state.disks, target, disk),
            network=network,
            history=history,
        )

    def _restart(self, state: SystemState, name: str) -> SystemState:
        number = self.components.index[name]
        if state.processes[number] != DOWN:
            raise ActionNotPossibleError(f"{name} is not down")
        disk, incarnation_count = state.disks[number], state.incarnation_counts[number] + 1
        check_restart(self.components.facts(disk), self.components.histories[state.history], name)
        return state._replace(
            processes=with_item(
                state.processes, number, self.steps.start(number, disk, incarnation_count)
            ),
            incarnation_counts=with_item(state.incarnation_counts, number, incarnation_count),
        )

    def _wipe(self, state: SystemState, name: str) -> SystemState:
        number = self.components.index[name]
        if state.processes[number] == GONE or not self.enabled.tolerates_loss(state, number):
            raise ActionNotPossibleError(f"the loss of {name} is beyond f")
        lost = state.disks_lost[number] + 1
        records = empty_disk(self.components.scope.machines[number], lost)
        if self.components.switches.reuse_identity:
            records = [{**records[0], "identity": identity_of(name, 0)}]
        disk = self.components.intern_disk(tuple(map(text_of, records)))
        incarnation_count = state.incarnation_counts[number] + 1
        return spent(state, "wipes")._replace(
            processes=with_item(
                state.processes, number, self.steps.start(number, disk, incarnation_count)
            ),
            disks=with_item(state.disks, number, disk),
            incarnation_counts=with_item(state.incarnation_counts, number, incarnation_count),
            disks_lost=with_item(state.disks_lost, number, lost),
        )

    def _remove(self, state: SystemState, name: str) -> SystemState:
        number = self.components.index[name]
        if state.processes[number] == GONE or not self.enabled.is_replaced(state, number):
            raise ActionNotPossibleError(f"{name} was not replaced")
        return spent(state, "removals")._replace(
            processes=with_item(state.processes, number, GONE),
            disks=with_item(state.disks, number, GONE),
        )
