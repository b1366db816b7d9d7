"""Reads of the configuration at every registry during a soak: none may be older than it should.

A registry that is cut off, frozen or behind answers late or not at all; a read that waits on the
socket of a frozen one is answered when that goes on.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.soak.configurations import Change
from willowpost.stand_ins.http_call import OK, ask

READ_PAUSE_SECONDS = 0.05
READ_TIMEOUT_SECONDS = 8.0  # longer than a registry is frozen


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A read that was answered; times are µs of the machine's clock.

    Attributes:
        registry: Its address.
        sent_at: When it was sent.
        answered_at: When the answer came.
        version: Of the configuration in the answer.
    """

    registry: str
    sent_at: int
    answered_at: int
    version: int


class ConfigurationReader:
    """Reads the configuration at each registry, one read after the other.

    Args:
        clock: The machine's clock.
        registries: Their addresses.

    Attributes:
        reads: The reads that were answered, in the order of their answers.
    """

    def __init__(self, clock: Clock, registries: Iterable[str]) -> None:
        self.clock, self.registries = clock, tuple(registries)
        self.reads: list[ConfigurationRead] = []
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to read."""
        self._tasks = [gevent.spawn(self._run, registry) for registry in self.registries]

    def stop(self) -> None:
        """Read no more."""
        gevent.killall(self._tasks)

    def _run(self, registry: str) -> None:
        while True:
            self._read(registry)
            gevent.sleep(READ_PAUSE_SECONDS)

    def _read(self, registry: str) -> None:
        sent_at = self.clock.now()
        reply = ask(registry, "GET", "/v1/configuration", seconds=READ_TIMEOUT_SECONDS)
        if reply is not None and reply[0] == OK:
            version = int(reply[2]["version"])
            self.reads.append(ConfigurationRead(registry, sent_at, self.clock.now(), version))


def outdated_reads(
    reads: Iterable[ConfigurationRead], changes: Iterable[Change]
) -> list[ConfigurationRead]:
    """Returns the reads that are older than a version acknowledged or read before they were sent.

    Args:
        reads: All reads that were answered.
        changes: All changes.
    """
    reads = tuple(reads)
    known = [(read.answered_at, read.version) for read in reads]
    known += [
        (change.accepted_at, change.version)
        for change in changes
        if change.accepted_at is not None and change.version is not None
    ]
    known.sort()
    outdated, newest, position = [], 0, 0
    for read in sorted(reads, key=lambda read: read.sent_at):
        while position < len(known) and known[position][0] < read.sent_at:
            newest = max(newest, known[position][1])
            position += 1
        if read.version < newest:
            outdated.append(read)
    return outdated
