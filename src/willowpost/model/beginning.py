"""The state that a model begins in, before the scope's opening."""

import json

from willowpost.common.events import SubmitOperations
from willowpost.common.events import Tick as TickEvent
from willowpost.model.history import History
from willowpost.model.invariants import record_decisions
from willowpost.model.logical_time import NOW, aged
from willowpost.model.parts import Parts, text_of
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


def first_state(parts: Parts, steps: ProcessSteps) -> SystemState:
    """Every process started from its first disk, every command asked for and submitted."""
    disks = [_first_disk(parts, number) for number in range(len(parts.stores))]
    images = [steps.start(number, disk, 1) for number, disk in enumerate(disks)]
    messages: set[int] = set()
    for number, name in enumerate(parts.clients):
        image, sent = _first_submit(parts, number, name)
        images.append(image)
        messages.update(sent)
    if parts.scope.reader:
        images.append(parts.number_image(build_reader(first_tables(parts.scope))))
    return SystemState(
        processes=tuple(images),
        disks=tuple(disks),
        network=tuple(sorted(messages)),
        cuts=frozenset(),
        ticks=tuple(parts.scope.ticks.get(name, 0) for name in parts.names),
        lives=(1,) * len(parts.stores),
        disks_lost=(0,) * len(parts.stores),
        budget=parts.scope.budget,
        history=_first_history(parts, disks),
    )


def _first_disk(parts: Parts, number: int) -> int:
    machine = parts.scope.machines[number]
    return parts.number_disk(tuple(map(text_of, first_disk(parts.scope, machine))))


def _first_submit(parts: Parts, number: int, name: str) -> tuple[int, list[int]]:
    first = parts.scope.first_store[number]
    voters = [machine.name for machine in voters_of(parts.scope)]
    client = build_client(name, voters[first:] + voters[:first])
    client.step(SubmitOperations(name, (parts.scope.commands[number],)), NOW)
    client = copy_of(client, aged)
    plan = client.step(TickEvent(), NOW)
    return parts.number_image(client), parts.number_sends(name, plan)


def _first_history(parts: Parts, disks: list[int]) -> int:
    history = History()
    for name, disk in zip(parts.stores, disks, strict=True):
        records = [json.loads(line) for line in parts.disks[disk]]
        history = record_decisions(history, records, name)
    return parts.histories.number(history, history)
