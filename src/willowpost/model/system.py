"""The modelled system: its first state, its possible actions and their successors."""

from collections.abc import Iterator

from willowpost.model.actions import Action, Deliver, Tick
from willowpost.model.components import StateComponents
from willowpost.model.enabled_actions import EnabledActions
from willowpost.model.initial_state import initial_state
from willowpost.model.invariants import check_durability
from willowpost.model.scope import Scope, SetupDelivery, SetupTick
from willowpost.model.state_changes import ActionNotPossibleError, with_item
from willowpost.model.steps import ProcessSteps
from willowpost.model.switches import ALL_PROTECTIONS_ON, Switches
from willowpost.model.system_state import SystemState
from willowpost.model.transitions import Transitions


class System:
    """The modelled system; states are values, and successor() changes no earlier state."""

    def __init__(self, scope: Scope, switches: Switches = ALL_PROTECTIONS_ON) -> None:
        self.components = StateComponents(scope, switches)
        self.steps = ProcessSteps(self.components)
        self.enabled = EnabledActions(self.components, self.steps)
        self.transitions = Transitions(self.components, self.steps, self.enabled)
        self._initial: SystemState | None = None
        self._checked_durability: set[tuple[tuple[int, ...], int]] = set()

    def actions(self, state: SystemState, exact: bool = True) -> Iterator[Action]:
        """Everything that may happen next; see `EnabledActions.actions`."""
        return self.enabled.actions(state, exact)

    def initial(self) -> SystemState:
        """The state that the scope describes, after its setup.

        Raises:
            ActionNotPossibleError: a step of the setup cannot happen.
            InvariantViolationError: an invariant does not hold on the way.
        """
        if self._initial is None:
            state = initial_state(self.components, self.steps)
            for step in self.components.scope.setup:
                state = self._apply_setup_step(state, step)
            self._initial = state._replace(blocked_links=self.components.scope.blocked_links)
        return self._initial

    def _apply_setup_step(self, state: SystemState, step: SetupDelivery | SetupTick) -> SystemState:
        if isinstance(step, SetupTick):
            number = self.components.index[step.process]
            more = state._replace(ticks=with_item(state.ticks, number, state.ticks[number] + 1))
            return self.successor(more, Tick(step.process))
        for number in sorted(state.network, reverse=True):
            source, target, body = self.components.messages[number]
            if (source, target, type(body)) == (step.source, step.target, step.kind):
                return self.successor(
                    state, Deliver(source, target, self.components.message_text(number))
                )
        raise ActionNotPossibleError(f"no message for {step}")

    def successor(self, state: SystemState, action: Action) -> SystemState:
        """The state after the action.

        Raises:
            ActionNotPossibleError: the action cannot happen in this state.
            InvariantViolationError: an invariant does not hold in or on the way to the next state.
        """
        successor = self.transitions.apply(state, action)
        durable_state = (successor.disks, successor.history)
        if durable_state not in self._checked_durability:
            check_durability(
                self.components.disk_facts(successor), self.components.histories[successor.history]
            )
            self._checked_durability.add(durable_state)
        return successor
