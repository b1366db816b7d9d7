"""The components of states, interned: processes, disks, messages and histories by number."""

import json
from typing import Any

from willowpost.common.plan import Plan
from willowpost.model.disk_facts import DiskFacts, read_disk
from willowpost.model.history import History
from willowpost.model.interner import Interner
from willowpost.model.invariants import PROCESS_FAILURE, InvariantViolationError
from willowpost.model.process_image import Fingerprints
from willowpost.model.processes import READER, Record
from willowpost.model.scope import READS_OFF, Scope
from willowpost.model.switches import Switches
from willowpost.model.system_state import GONE, SystemState

Message = tuple[str, str, Any]  # source, target, body


def text_of(record: Record) -> str:
    """A record as the one JSON text that represents it on a disk."""
    return json.dumps(record, sort_keys=True, separators=(",", ":"))


class StateComponents:
    """Components of states by number; equal ones have one number, which never changes."""

    def __init__(self, scope: Scope, switches: Switches) -> None:
        self.scope = scope
        self.switches = switches
        self.stores = tuple(machine.name for machine in scope.machines)
        self.clients = tuple(f"client{number}" for number in range(len(scope.commands)))
        self.names = self.stores + self.clients + ((READER,) if scope.reader else ())
        self.index = {name: number for number, name in enumerate(self.names)}
        self.operations = {
            f"{name}/1/1": operation
            for name, operation in zip(self.clients, scope.commands, strict=True)
        }
        self.images: Interner[Any] = Interner()
        self.messages: Interner[Message] = Interner()
        self.disks: Interner[tuple[str, ...]] = Interner()
        self.histories: Interner[History] = Interner()
        self._fingerprints = Fingerprints()
        self._facts: dict[int, DiskFacts] = {}
        self._numbers: dict[tuple[str, str, str], int] = {}
        self._texts: dict[int, str] = {}

    def intern_image(self, process: Any) -> int:
        """The number of a process, by all of its fields."""
        return self.images.intern(self._fingerprints.of(process), process)

    def intern_disk(self, lines: tuple[str, ...]) -> int:
        """The number of a disk with these records."""
        return self.disks.intern(lines, lines)

    def intern_sends(self, source: str, plan: Plan) -> list[int]:
        """The numbers of the messages that a plan sends to processes of the model."""
        numbers = [
            self.messages.intern((source, target, message), (source, target, message))
            for target, message in plan.sends
            if target in self.index
        ]
        for number in numbers:
            self.message_text(number)
        return numbers

    def facts(self, disk: int) -> DiskFacts:
        """What the disk of this number contains."""
        if disk not in self._facts:
            try:
                self._facts[disk] = read_disk(self.disks[disk])
            except Exception as problem:  # whatever it is, a store could not start from this disk
                raise InvariantViolationError(
                    PROCESS_FAILURE, f"a disk cannot be read: {problem!r}"
                ) from problem
        return self._facts[disk]

    def disk_facts(self, state: SystemState) -> list[DiskFacts]:
        """What each disk that still exists contains."""
        return [self.facts(disk) for disk in state.disks if disk != GONE]

    def message_text(self, number: int) -> str:
        """The message's body as actions name it."""
        if number not in self._texts:
            source, target, body = self.messages[number]
            text = self._texts[number] = repr(body)
            self._numbers[source, target, text] = number
        return self._texts[number]

    def message_number(self, source: str, target: str, text: str) -> int | None:
        """The number of the message with this text, if it was ever sent."""
        return self._numbers.get((source, target, text))

    def reads(self, name: str) -> bool:
        """Whether the process begins a quorum read when its timers are due."""
        reading_stores = self.scope.tuning.quorum_read_interval_us != READS_OFF
        return name == READER or (name in self.stores and reading_stores)
