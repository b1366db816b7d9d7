"""The min priority queue of pending commands, oldest stamp first."""

from heapq import heappop, heappush

from willowpost.wire.messages import Command


class PendingQueue:
    """Invariant: holds each key at most once; the head is the least (stamp.

    Key) of those not decided.
    """

    def __init__(self):
        self.heap: list[tuple[int, str]] = []
        self.commands: dict[str, Command] = {}
        self.since: dict[str, int] = {}

    def push(self, command: Command, now: int) -> bool:
        if command.key in self.commands:
            return False
        self.commands[command.key] = command
        self.since[command.key] = now
        heappush(self.heap, (command.stamp, command.key))
        return True

    def drop(self, key: str) -> None:
        self.commands.pop(key, None)
        self.since.pop(key, None)

    def head(self, decided) -> Command | None:
        while self.heap:
            command = self.commands.get(self.heap[0][1])
            if command is not None and not decided(command):
                return command
            self.drop(heappop(self.heap)[1])
        return None
