"""The state that a model begins in, before the scope's setup."""

import json

from willowpost.common.events import SubmitOperations
from willowpost.common.events import Tick as TickEvent
from willowpost.model.components import StateComponents, text_of
from willowpost.model.history import History
from willowpost.model.invariants import record_decisions
from willowpost.model.logical_time import NOW, aged
from willowpost.model.process_image import copy_of
from willowpost.model.processes import (
    build_client,
    build_reader,
    first_disk,
    first_tables,
    voters_of,
)
from willowpost.model.steps import ProcessSteps
from willowpost.model.system_state import SystemState


def initial_state(components: StateComponents, steps: ProcessSteps) -> SystemState:
    """Every process started from its first disk, every command requested and submitted."""
    disks = [_first_disk(components, number) for number in range(len(components.stores))]
    images = [steps.start(number, disk, 1) for number, disk in enumerate(disks)]
    messages: set[int] = set()
    for number, name in enumerate(components.clients):
        image, sent = _first_submit(components, number, name)
        images.append(image)
        messages.update(sent)
    if components.scope.reader:
        images.append(components.intern_image(build_reader(first_tables(components.scope))))
    return SystemState(
        processes=tuple(images),
        disks=tuple(disks),
        network=tuple(sorted(messages)),
        blocked_links=frozenset(),
        ticks=tuple(components.scope.ticks.get(name, 0) for name in components.names),
        incarnation_counts=(1,) * len(components.stores),
        disks_lost=(0,) * len(components.stores),
        budget=components.scope.budget,
        history=_first_history(components, disks),
    )


def _first_disk(components: StateComponents, number: int) -> int:
    machine = components.scope.machines[number]
    return components.intern_disk(tuple(map(text_of, first_disk(components.scope, machine))))


def _first_submit(components: StateComponents, number: int, name: str) -> tuple[int, list[int]]:
    first = components.scope.first_store[number]
    voters = [machine.name for machine in voters_of(components.scope)]
    client = build_client(name, voters[first:] + voters[:first])
    client.step(SubmitOperations(name, (components.scope.commands[number],)), NOW)
    client = copy_of(client, aged)
    plan = client.step(TickEvent(), NOW)
    return components.intern_image(client), components.intern_sends(name, plan)


def _first_history(components: StateComponents, disks: list[int]) -> int:
    history = History()
    for name, disk in zip(components.stores, disks, strict=True):
        records = [json.loads(line) for line in components.disks[disk]]
        history = record_decisions(history, records, name)
    return components.histories.intern(history, history)
