"""Which actions are possible in a state."""

from collections.abc import Iterator

from willowpost.consensus.thresholds import Thresholds
from willowpost.model.actions import (
    Action,
    BlockLink,
    Crash,
    CrashAfterSending,
    CrashOnDelivery,
    Deliver,
    Heal,
    Lose,
    Remove,
    Restart,
    Tick,
    Wipe,
)
from willowpost.model.components import StateComponents
from willowpost.model.invariants import lost_voters, voters_in_force
from willowpost.model.steps import SHORT_TICK, Outcome, ProcessSteps
from willowpost.model.system_state import DOWN, GONE, SystemState

_FEW_CRASH_POINTS = range(3)


class EnabledActions:
    """Offers the actions possible in a state, each only while the scope's budget has one left."""

    def __init__(self, components: StateComponents, steps: ProcessSteps) -> None:
        self.components = components
        self.steps = steps

    def actions(self, state: SystemState, exact: bool = True) -> Iterator[Action]:
        """Everything that may happen next, within the scope's budget.

        Args:
            state: The state to go on from.
            exact: Whether crashes during a write are offered for each count of records that the
                step writes, which takes the step; else they are offered for a few counts, also
                where the step writes less.
        """
        for number in state.network:
            yield from self._on_message(state, number, exact)
        for name in self.components.names:
            yield from self._on_process(state, name)
        yield from self._on_links(state)

    def _on_message(self, state: SystemState, number: int, exact: bool) -> Iterator[Action]:
        source, target, _ = self.components.messages[number]
        text = self.components.message_text(number)
        process = state.processes[self.components.index[target]]
        if state.budget.losses:
            yield Lose(source, target, text)
        if process < 0 or (source, target) in state.blocked_links:
            return
        yield Deliver(source, target, text)
        if state.budget.duplicates:
            yield Deliver(source, target, text, keep=True)
        if target in self.components.stores and state.budget.torn and self._may_crash(target):
            for written in self._crash_points(process, number) if exact else _FEW_CRASH_POINTS:
                yield CrashOnDelivery(source, target, text, written)
            if self.components.switches.send_before_sync:
                yield CrashAfterSending(source, target, text)

    def _crash_points(self, process: int, number: int) -> range:
        """After how many of its writes this step may end; empty if it writes nothing."""
        outcome = self.steps.outcome(process, number)
        writes = outcome.writes if isinstance(outcome, Outcome) else 0
        return range(writes + 1) if writes else range(0)

    def _may_crash(self, name: str) -> bool:
        return name in (self.components.scope.may_crash or self.components.stores)

    def _may_lose_disk(self, name: str) -> bool:
        return name in (self.components.scope.may_lose_disk or self.components.stores)

    def _on_process(self, state: SystemState, name: str) -> Iterator[Action]:
        number = self.components.index[name]
        process = state.processes[number]
        if process >= 0 and state.ticks[number]:
            yield Tick(name)
        if name not in self.components.stores:
            return
        if process >= 0 and state.budget.short_ticks and self._acts_on_short_tick(process):
            yield Tick(name, timed=False)
        if process >= 0 and state.budget.crashes and self._may_crash(name):
            yield Crash(name)
        if process == DOWN:
            yield Restart(name)
        if process == GONE or not self._may_lose_disk(name):
            return
        if state.budget.wipes and self.tolerates_loss(state, number):
            yield Wipe(name)
        if state.budget.removals and self.is_replaced(state, number):
            yield Remove(name)

    def _acts_on_short_tick(self, process: int) -> bool:
        outcome = self.steps.outcome(process, SHORT_TICK)
        return not isinstance(outcome, Outcome) or bool(
            outcome.image != process or outcome.messages or outcome.writes
        )

    def tolerates_loss(self, state: SystemState, number: int) -> bool:
        """Whether this disk may be lost with at most f disks of each core in force lost."""
        identity = self.components.facts(state.disks[number]).identity
        left = [facts for facts in self.components.disk_facts(state) if facts.identity != identity]
        return all(
            lost_voters(voters, left) <= Thresholds(len(voters)).f
            for voters in voters_in_force(self.components.disk_facts(state))
        )

    def is_replaced(self, state: SystemState, number: int) -> bool:
        """Whether the store was a voter and is none by the latest change."""
        facts = self.components.disk_facts(state)
        identity = self.components.facts(state.disks[number]).identity
        newest = voters_in_force(facts)[0]
        return identity not in newest and any(identity in disk.previous_voters for disk in facts)

    def _on_links(self, state: SystemState) -> Iterator[Action]:
        if state.budget.blocked_links:
            for source in self.components.names:
                for target in self.components.stores:
                    if source != target and (source, target) not in state.blocked_links:
                        yield BlockLink(source, target)
        if state.blocked_links and state.budget.heals:
            yield Heal()
