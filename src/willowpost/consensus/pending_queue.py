"""The priority queue of commands that wait for a slot (Rabia, Algorithm 1: PQ)."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from willowpost.common.clock import SECOND
from willowpost.wire.messages import Command

# Longer than any caller waits for an outcome; whoever needs a command submits it every 0.4 s.
COMMAND_LIFETIME_US = 5 * SECOND
# A command that was not renewed for so long may be about to expire at other replicas.
RENEWAL_INTERVAL_US = COMMAND_LIFETIME_US // 2
MAX_STALE_HEAP_ENTRIES = 256


@dataclass(slots=True)
class PendingCommand:
    """A command in the queue.

    Attributes:
        command: that waits.
        queued_at: µs, own clock.
        renewed_at: when it was last submitted, forwarded or proposed by another; µs, own clock.
    """

    command: Command
    queued_at: int
    renewed_at: int


class PendingQueue:
    """Pending commands, oldest stamp first; equal stamps in the order of their keys.

    Each key is in the queue at most once. The heap may still name dropped keys until they reach its
    top.

    A command that nobody has renewed for COMMAND_LIFETIME_US expires: its submitter has given up.
    Without that, a log that is slower than what is submitted would decide ever older commands, none
    of which anybody waits for any more.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        self._by_key: dict[str, PendingCommand] = {}

    def __len__(self) -> int:
        """How many commands wait."""
        return len(self._by_key)

    def push(self, command: Command, now: int) -> bool:
        """Add a command at time `now` (µs, own clock), or renew it if its key is queued.

        Returns:
            Whether the other replicas should be told: it is new here, or was not renewed for
            RENEWAL_INTERVAL_US.
        """
        pending = self._by_key.get(command.key)
        if pending is not None:
            is_renewal_due = now - pending.renewed_at >= RENEWAL_INTERVAL_US
            pending.renewed_at = now
            return is_renewal_due
        self._by_key[command.key] = PendingCommand(command, now, now)
        heappush(self._heap, (command.stamp, command.key))
        return True

    def drop(self, key: str) -> None:
        """Remove the command with this key, if it is queued."""
        self._by_key.pop(key, None)

    def expire(self, now: int) -> int:
        """Remove the commands whose lifetime is over at `now` (µs, own clock).

        Returns:
            How many.
        """
        expired = [
            key
            for key, pending in self._by_key.items()
            if now - pending.renewed_at >= COMMAND_LIFETIME_US
        ]
        for key in expired:
            self.drop(key)
        if len(self._heap) > len(self._by_key) + MAX_STALE_HEAP_ENTRIES:
            self._heap = [(pending.command.stamp, key) for key, pending in self._by_key.items()]
            heapify(self._heap)
        return len(expired)

    def get(self, key: str) -> Command | None:
        """Return the queued command with this key, or None."""
        pending = self._by_key.get(key)
        return None if pending is None else pending.command

    def queued_at(self, key: str) -> int | None:
        """Return when the command was queued (µs, own clock); None if it is not."""
        pending = self._by_key.get(key)
        return None if pending is None else pending.queued_at

    def oldest_queued_at(self) -> int | None:
        """Return when the command that waits longest was queued (µs, own clock), if any waits."""
        return min((pending.queued_at for pending in self._by_key.values()), default=None)

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
