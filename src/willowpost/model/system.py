"""The modelled system: which actions are possible in a state, and what each leads to."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from willowpost.common.events import Asked, Received
from willowpost.common.events import Tick as TickEvent
from willowpost.common.plan import Plan
from willowpost.consensus.thresholds import Thresholds
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
from willowpost.model.disk_facts import DiskFacts, read_disk
from willowpost.model.history import History
from willowpost.model.invariants import (
    FAILED,
    Violation,
    check_durability,
    check_progress,
    check_read,
    check_restart,
    cores_in_force,
    lost_voters,
    record_configuration,
    record_decisions,
    record_message,
)
from willowpost.model.logical_time import NOW, aged
from willowpost.model.numbering import Numbering
from willowpost.model.process_image import Fingerprints, copy_of
from willowpost.model.processes import (
    READER,
    Record,
    build_client,
    build_reader,
    build_store,
    empty_disk,
    first_disk,
    first_tables,
    identity_of,
    voters_of,
)
from willowpost.model.scope import READS_OFF, Passes, Scope, Ticks
from willowpost.model.system_state import DOWN, GONE, SystemState
from willowpost.wire.messages import StateUpdate

_FEW_CRASH_POINTS = range(3)
TIMED_TICK = -1  # in place of a message's number
SHORT_TICK = -2
Message = tuple[str, str, Any]  # source, target, body


class NotPossible(Exception):
    """The action cannot happen in this state."""


@dataclass(frozen=True, slots=True)
class Switches:
    """Protections outside the controllers that can be switched off, to see that each is needed."""

    thresholds: type[Thresholds] = Thresholds
    send_before_sync: bool = False
    reuse_identity: bool = False


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


def _text(record: Record) -> str:
    return json.dumps(record, sort_keys=True, separators=(",", ":"))


class System:
    """Invariants: a step of a process depends on its image and the event alone, and is kept.

    States are values; nothing that `successor` does changes an earlier state.
    """

    def __init__(self, scope: Scope, switches: Switches | None = None) -> None:
        self.scope = scope
        self.switches = switches or Switches()
        self.stores = tuple(machine.name for machine in scope.machines)
        self.clients = tuple(f"client{number}" for number in range(len(scope.commands)))
        self.names = self.stores + self.clients + ((READER,) if scope.reader else ())
        self.index = {name: number for number, name in enumerate(self.names)}
        self.operations = {
            f"{name}/1/1": operation
            for name, operation in zip(self.clients, scope.commands, strict=True)
        }
        self.images: Numbering[Any] = Numbering()
        self.messages: Numbering[Message] = Numbering()
        self.disks: Numbering[tuple[str, ...]] = Numbering()
        self.histories: Numbering[History] = Numbering()
        self._fingerprints = Fingerprints()
        self._initial: SystemState | None = None
        self._facts: dict[int, DiskFacts] = {}
        self._recordings: dict[tuple[int, str, int], int] = {}
        self._in_network: dict[tuple[str, str, str], int] = {}
        self._durable: set[tuple[tuple[int, ...], int]] = set()
        self._outcomes: dict[tuple[int, int], Outcome | Violation] = {}
        self._reprs: dict[int, str] = {}
        self.steps_taken = 0  # of processes, not kept ones

    # ---- the first state

    def initial(self) -> SystemState:
        """The state that the scope describes, after its opening.

        Raises:
            NotPossible: a step of the opening cannot happen.
            Violation: an invariant does not hold on the way.
        """
        if self._initial is None:
            state = self._before_opening()
            for step in self.scope.opening:
                state = self._opened(state, step)
            self._initial = state._replace(cuts=self.scope.cuts)
        return self._initial

    def _opened(self, state: SystemState, step: Passes | Ticks) -> SystemState:
        if isinstance(step, Ticks):
            number = self.index[step.process]
            more = state._replace(ticks=_set(state.ticks, number, state.ticks[number] + 1))
            return self.successor(more, Tick(step.process))
        for number in sorted(state.network, reverse=True):
            source, target, body = self.messages[number]
            if (source, target, type(body).__name__) == (step.source, step.target, step.kind):
                return self.successor(state, Deliver(source, target, self.message_text(number)))
        raise NotPossible(f"no message for {step}")

    def _before_opening(self) -> SystemState:
        """The first state, with every command asked for and submitted."""
        disks = [self._first_disk(number) for number in range(len(self.stores))]
        images = [self._start(number, disk, 1) for number, disk in enumerate(disks)]
        messages: set[int] = set()
        for number, name in enumerate(self.clients):
            image, sent = self._first_submit(number, name)
            images.append(image)
            messages.update(sent)
        if self.scope.reader:
            images.append(self._number_image(build_reader(first_tables(self.scope))))
        return SystemState(
            processes=tuple(images),
            disks=tuple(disks),
            network=tuple(sorted(messages)),
            cuts=frozenset(),
            ticks=tuple(self.scope.ticks.get(name, 0) for name in self.names),
            lives=(1,) * len(self.stores),
            disks_lost=(0,) * len(self.stores),
            budget=self.scope.budget,
            history=self._first_history(disks),
        )

    def _first_disk(self, number: int) -> int:
        machine = self.scope.machines[number]
        return self._number_disk(tuple(map(_text, first_disk(self.scope, machine))))

    def _first_submit(self, number: int, name: str) -> tuple[int, list[int]]:
        first = self.scope.first_store[number]
        voters = [machine.name for machine in voters_of(self.scope)]
        client = build_client(name, voters[first:] + voters[:first])
        client.step(Asked(name, (self.scope.commands[number],)), NOW)
        client = copy_of(client, aged)
        plan = client.step(TickEvent(), NOW)
        return self._number_image(client), self._number_sends(name, plan)

    def _first_history(self, disks: list[int]) -> int:
        history = History()
        for name, disk in zip(self.stores, disks, strict=True):
            records = [json.loads(line) for line in self.disks[disk]]
            history = record_decisions(history, records, name)
        return self.histories.number(history, history)

    # ---- numbering of parts

    def _number_image(self, process: Any) -> int:
        return self.images.number(self._fingerprints.of(process), process)

    def _number_disk(self, lines: tuple[str, ...]) -> int:
        return self.disks.number(lines, lines)

    def _number_sends(self, source: str, plan: Plan) -> list[int]:
        numbers = [
            self.messages.number((source, target, message), (source, target, message))
            for target, message in plan.sends
            if target in self.index
        ]
        for number in numbers:
            self.message_text(number)
        return numbers

    def facts(self, disk: int) -> DiskFacts:
        """What the disk of this number holds."""
        if disk not in self._facts:
            try:
                self._facts[disk] = read_disk(self.disks[disk])
            except Exception as problem:  # whatever it is, a store could not start from this disk
                raise Violation(FAILED, f"a disk cannot be read: {problem!r}") from problem
        return self._facts[disk]

    def disk_facts(self, state: SystemState) -> list[DiskFacts]:
        """What each disk that still exists holds."""
        return [self.facts(disk) for disk in state.disks if disk != GONE]

    def message_text(self, number: int) -> str:
        """The message's body as it stands in actions."""
        if number not in self._reprs:
            source, target, body = self.messages[number]
            text = self._reprs[number] = repr(body)
            self._in_network[source, target, text] = number
        return self._reprs[number]

    # ---- which actions are possible

    def actions(self, state: SystemState, exact: bool = True) -> Iterator[Action]:
        """Everything that may happen next, within the scope's budget.

        Args:
            state: The state to go on from.
            exact: Crashes during a write are offered for each count of records that the step writes,
                which takes the step; else for a few counts, also where the step writes less.
        """
        for number in state.network:
            yield from self._on_message(state, number, exact)
        for name in self.names:
            yield from self._on_process(state, name)
        yield from self._on_links(state)

    def _on_message(self, state: SystemState, number: int, exact: bool) -> Iterator[Action]:
        source, target, _ = self.messages[number]
        text = self.message_text(number)
        process = state.processes[self.index[target]]
        if state.budget.losses:
            yield Lose(source, target, text)
        if process < 0 or (source, target) in state.cuts:
            return
        yield Deliver(source, target, text)
        if state.budget.duplicates:
            yield Deliver(source, target, text, keep=True)
        if target in self.stores and state.budget.torn and self._may_crash(target):
            for written in self._crash_points(process, number) if exact else _FEW_CRASH_POINTS:
                yield CrashOnDelivery(source, target, text, written)
            if self.switches.send_before_sync:
                yield CrashAfterSending(source, target, text)

    def _crash_points(self, process: int, number: int) -> range:
        """After how many of its writes this step may end; none if it writes nothing."""
        outcome = self._outcome(process, number)
        writes = outcome.writes if isinstance(outcome, Outcome) else 0
        return range(writes + 1) if writes else range(0)

    def _may_crash(self, name: str) -> bool:
        return name in (self.scope.may_crash or self.stores)

    def _may_lose_disk(self, name: str) -> bool:
        return name in (self.scope.may_lose_disk or self.stores)

    def _on_process(self, state: SystemState, name: str) -> Iterator[Action]:
        number = self.index[name]
        process = state.processes[number]
        if process >= 0 and state.ticks[number]:
            yield Tick(name)
        if name not in self.stores:
            return
        if process >= 0 and state.budget.short_ticks and self._acts_on_short_tick(process):
            yield Tick(name, timed=False)
        if process >= 0 and state.budget.crashes and self._may_crash(name):
            yield Crash(name)
        if process == DOWN:
            yield Restart(name)
        if process == GONE or not self._may_lose_disk(name):
            return
        if state.budget.wipes and self._bears_loss(state, number):
            yield Wipe(name)
        if state.budget.removals and self._is_replaced(state, number):
            yield Remove(name)

    def _acts_on_short_tick(self, process: int) -> bool:
        outcome = self._outcome(process, SHORT_TICK)
        return not isinstance(outcome, Outcome) or bool(
            outcome.image != process or outcome.messages or outcome.writes
        )

    def _bears_loss(self, state: SystemState, number: int) -> bool:
        """Whether this disk may be lost within f of the voters in force."""
        identity = self.facts(state.disks[number]).identity
        left = [facts for facts in self.disk_facts(state) if facts.identity != identity]
        return all(
            lost_voters(core, left) <= Thresholds(len(core)).f
            for core in cores_in_force(self.disk_facts(state))
        )

    def _is_replaced(self, state: SystemState, number: int) -> bool:
        """Whether the store was a voter and is none by the latest change."""
        facts = self.disk_facts(state)
        identity = self.facts(state.disks[number]).identity
        newest = cores_in_force(facts)[0]
        return identity not in newest and any(identity in held.former for held in facts)

    def _on_links(self, state: SystemState) -> Iterator[Action]:
        if state.budget.cuts:
            for source in self.names:
                for target in self.stores:
                    if source != target and (source, target) not in state.cuts:
                        yield Cut(source, target)
        if state.cuts and state.budget.heals:
            yield Heal()

    # ---- what an action leads to

    def successor(self, state: SystemState, action: Action) -> SystemState:
        """The state after the action.

        Raises:
            NotPossible: the action cannot happen in this state.
            Violation: an invariant does not hold in or on the way to the next state.
        """
        reached = self._reached(state, action)
        held = (reached.disks, reached.history)
        if held not in self._durable:
            check_durability(self.disk_facts(reached), self.histories[reached.history])
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
                    processes=_set(state.processes, self.index[name], DOWN), budget=budget
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
        process = state.processes[self.index[name]]
        if process < 0:
            raise NotPossible(f"{name} is not running")
        return process

    def _in_flight(self, state: SystemState, action: Delivery) -> int:
        number = self._in_network.get((action.source, action.target, action.message))
        if number is None or number not in state.network:
            raise NotPossible("no such message is in flight")
        return number

    def _after_delivery(self, network: tuple[int, ...], number: int) -> tuple[int, ...]:
        return network if self.scope.messages_stay else _without(network, number)

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
        return self._carried_out(state, action.target, self._need(process, number))

    def _need(self, process: int, event: int) -> Outcome:
        outcome = self._outcome(process, event)
        if isinstance(outcome, Violation):
            raise outcome
        return outcome

    def _tick(self, state: SystemState, name: str, timed: bool) -> SystemState:
        process, number = self._running(state, name), self.index[name]
        if timed:
            self._spend(state.ticks[number])
            history = state.history
            if self._reads(name):
                begun = self.histories[history].with_read_begun(name)
                history = self.histories.number(begun, begun)
            ticks = _set(state.ticks, number, state.ticks[number] - 1)
            state = state._replace(ticks=ticks, history=history)
        else:
            self._spend(state.budget.short_ticks)
            budget = state.budget._replace(short_ticks=state.budget.short_ticks - 1)
            state = state._replace(budget=budget)
        return self._carried_out(
            state, name, self._need(process, TIMED_TICK if timed else SHORT_TICK)
        )

    def _reads(self, name: str) -> bool:
        return name == READER or (name in self.stores and self.scope.pace.read != READS_OFF)

    def _outcome(self, process: int, event: int) -> Outcome | Violation:
        """What the step of this process does; `event` is a message's number or a kind of tick."""
        key = (process, event)
        known = self._outcomes.get(key)
        if known is None:
            known = self._outcomes[key] = self._step(process, event)
        return known

    def _step(self, process: int, number: int) -> Outcome | Violation:
        self.steps_taken += 1
        timed = number == TIMED_TICK
        before = self.images[process]
        after = copy_of(before, aged) if timed else copy_of(before)
        name = self._name_of(after)
        try:
            plan = after.step(self._event(name, number), NOW)
        except Exception as problem:  # whatever it is, the daemon would end by it
            return Violation(FAILED, f"{name}: {problem!r}")
        completed = False
        if hasattr(after, "node_state"):
            completed = after.node_state.fresh_as_of == NOW and (
                timed or before.node_state.fresh_as_of != NOW
            )
            try:
                check_progress(before.node_state, after.node_state, name)
            except Violation as violation:
                return violation
        return Outcome(
            image=self._number_image(after),
            records=tuple(map(_text, plan.records)),
            rotate=None if plan.rotate is None else tuple(map(_text, plan.rotate)),
            messages=tuple(dict.fromkeys(self._number_sends(name, plan))),
            completed_read=completed,
        )

    def _event(self, name: str, number: int) -> Received | TickEvent:
        if number < 0:
            return TickEvent()
        source, _, message = self.messages[number]
        return Received(source, _without_freshness(message) if name == READER else message)

    def _name_of(self, process: Any) -> str:
        card = getattr(process, "card", None) or getattr(
            getattr(process, "node_state", None), "card", None
        )
        return str(card.name if card is not None else process.daemon)

    def _carried_out(self, state: SystemState, name: str, outcome: Outcome) -> SystemState:
        number = self.index[name]
        if outcome.changes_nothing and outcome.image == state.processes[number]:
            return state
        history = self._recorded(state.history, name, outcome)
        if outcome.completed_read:
            slot = self.images[outcome.image].node_state.tables.slot
            check_read(slot, self.histories[state.history], name)
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
            after = self._history_after(self.histories[history], name, outcome)
            self._recordings[key] = self.histories.number(after, after)
        return self._recordings[key]

    def _history_after(self, history: History, name: str, outcome: Outcome) -> History:
        if name in self.clients:
            return history
        records = [json.loads(line) for line in outcome.records]
        history = record_decisions(history, records, name)
        history = record_configuration(history, self.images[outcome.image].node_state.tables, name)
        if name in self.stores:
            for message in outcome.messages:
                history = record_message(history, self.messages[message][2], name, self.operations)
        return history

    def _written(self, disk: int, outcome: Outcome, count: int) -> int:
        """The disk once the first `count` writes of the step are on it."""
        lines = self.disks[disk]
        if outcome.rotate is not None:
            if not count:
                return disk
            lines, count = outcome.rotate, count - 1
        return self._number_disk(lines + outcome.records[:count])

    def _crash_on_delivery(
        self, state: SystemState, action: CrashOnDelivery | CrashAfterSending
    ) -> SystemState:
        self._spend(state.budget.torn)
        number = self._in_flight(state, action)
        process, target = self._running(state, action.target), self.index[action.target]
        outcome = self._need(process, number)
        network, history = self._after_delivery(state.network, number), state.history
        written = 0
        if isinstance(action, CrashOnDelivery):
            written = min(action.written, outcome.writes)
        else:
            network = _with(network, outcome.messages)
            sent = replace(outcome, records=(), rotate=None)
            after = self._history_after(self.histories[history], action.target, sent)
            history = self.histories.number(after, after)
        disk = self._written(state.disks[target], outcome, written)
        return state._replace(
            processes=_set(state.processes, target, DOWN),
            disks=_set(state.disks, target, disk),
            network=network,
            history=history,
            budget=state.budget._replace(torn=state.budget.torn - 1),
        )

    def _start(self, number: int, disk: int, life: int) -> int:
        records = [json.loads(line) for line in self.disks[disk]]
        machine = self.scope.machines[number]
        try:
            store = build_store(self.scope, machine, records, life, self.switches.thresholds)
        except Exception as problem:  # whatever it is, the daemon would not start
            raise Violation(FAILED, f"{machine.name} cannot start: {problem!r}") from problem
        return self._number_image(store)

    def _restart(self, state: SystemState, name: str) -> SystemState:
        number = self.index[name]
        if state.processes[number] != DOWN:
            raise NotPossible(f"{name} is not down")
        disk, life = state.disks[number], state.lives[number] + 1
        check_restart(self.facts(disk), self.histories[state.history], name)
        return state._replace(
            processes=_set(state.processes, number, self._start(number, disk, life)),
            lives=_set(state.lives, number, life),
        )

    def _wipe(self, state: SystemState, name: str) -> SystemState:
        self._spend(state.budget.wipes)
        number = self.index[name]
        if state.processes[number] == GONE or not self._bears_loss(state, number):
            raise NotPossible(f"the loss of {name} is beyond f")
        lost = state.disks_lost[number] + 1
        records = empty_disk(self.scope.machines[number], lost)
        if self.switches.reuse_identity:
            records = [{**records[0], "identity": identity_of(name, 0)}]
        disk = self._number_disk(tuple(map(_text, records)))
        life = state.lives[number] + 1
        return state._replace(
            processes=_set(state.processes, number, self._start(number, disk, life)),
            disks=_set(state.disks, number, disk),
            lives=_set(state.lives, number, life),
            disks_lost=_set(state.disks_lost, number, lost),
            budget=state.budget._replace(wipes=state.budget.wipes - 1),
        )

    def _remove(self, state: SystemState, name: str) -> SystemState:
        self._spend(state.budget.removals)
        number = self.index[name]
        if state.processes[number] == GONE or not self._is_replaced(state, number):
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


def _without_freshness(message: Any) -> Any:
    """A store's own age is not taken over: only quorum reads make the reader fresh."""
    return replace(message, fresh=False) if isinstance(message, StateUpdate) else message
