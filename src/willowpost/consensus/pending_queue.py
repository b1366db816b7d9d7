"""The priority queue of commands that wait for a slot (Rabia, Algorithm 1: PQ)."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from willowpost.wire.messages import Command


@dataclass(slots=True)
class PendingCommand:
    """A command in the queue.

    Attributes:
        command: that waits.
        queued_at: µs, own clock.
    """

    command: Command
    queued_at: int


class PendingQueue:
    """Pending commands, oldest stamp first; equal stamps in the order of their keys.

    Each key is in the queue at most once. The heap may still name dropped keys until they reach its
    top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        self._by_key: dict[str, PendingCommand] = {}

    def push(self, command: Command, now: int) -> bool:
        """Add a command at time `now` (µs, own clock); False if its key is queued already."""
        if command.key in self._by_key:
            return False
        self._by_key[command.key] = PendingCommand(command, now)
        heappush(self._heap, (command.stamp, command.key))
        return True

    def drop(self, key: str) -> None:
        """Remove the command with this key, if it is queued."""
        self._by_key.pop(key, None)

    def get(self, key: str) -> Command | None:
        """Return the queued command with this key, or None."""
        pending = self._by_key.get(key)
        return None if pending is None else pending.command

    def queued_at(self, key: str) -> int:
        """Return when the command was queued (µs, own clock).

        Raises:
            KeyError: it is not queued.
        """
        return self._by_key[key].queued_at

    def head(self, is_decided: Callable[[Command], bool]) -> Command | None:
        """Return the first undecided command or None, and remove decided ones before it.

        Args:
            is_decided: whether the log has decided a command.
        """
        while self._heap:
            command = self.get(self._heap[0][1])
            if command is not None and not is_decided(command):
                return command
            _, key = heappop(self._heap)
            self.drop(key)
        return None
