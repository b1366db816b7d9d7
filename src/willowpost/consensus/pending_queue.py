"""The priority queue of commands that wait for a slot, oldest stamp first."""

from heapq import heappop, heappush

from willowpost.wire.messages import Command


class PendingQueue:
    """Pending commands, ordered by (stamp, key).

    Each key is held at most once. `since` maps a key to the time of its push (µs, own clock).
    Dropped keys stay in the heap until they reach its top.
    """

    def __init__(self):
        self.heap: list[tuple[int, str]] = []
        self.commands: dict[str, Command] = {}
        self.since: dict[str, int] = {}

    def push(self, command: Command, now: int) -> bool:
        """Add a command at time `now` (µs, own clock); False if its key is held already."""
        if command.key in self.commands:
            return False
        self.commands[command.key] = command
        self.since[command.key] = now
        heappush(self.heap, (command.stamp, command.key))
        return True

    def drop(self, key: str) -> None:
        """Remove the command with this key, if it is held."""
        self.commands.pop(key, None)
        self.since.pop(key, None)

    def head(self, decided) -> Command | None:
        """Return the least undecided command or None, and remove decided ones before it.

        Args:
            decided: predicate on a command: whether the log has decided it.
        """
        while self.heap:
            command = self.commands.get(self.heap[0][1])
            if command is not None and not decided(command):
                return command
            self.drop(heappop(self.heap)[1])
        return None
