"""The output of a step, as data. The runner carries it out in the order of the fields."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class OutgoingMessage(NamedTuple):
    """A message for another process.

    Attributes:
        address: `host:port` of the receiver.
        message: one of `wire.messages.BODIES`.
    """

    address: str
    message: Any


class Reply(NamedTuple):
    """The result of a request that a caller in this process waits for.

    Attributes:
        token: under which the caller waits.
        result: what the caller gets.
    """

    token: Hashable
    result: Any


class LogEntry(NamedTuple):
    """A log line.

    Attributes:
        component: the part of the program that logs, such as "catchup".
        event: what happened.
        fields: its details by name; a unit stands in the name, as in `age_ms`.
    """

    component: str
    event: str
    fields: Mapping[str, Any]


@dataclass(slots=True)
class Plan:
    """What is to be written, sent, answered and logged.

    All `records` are synced to disk before any of `sends` or `replies` leaves.

    Attributes:
        records: to be appended to the disk segment.
        rotate: the records of a new disk segment that replaces all before it; None: none.
        sends: messages for other processes.
        replies: results for callers in this process.
        log_entries: lines to be logged.
    """

    records: list[dict[str, Any]] = field(default_factory=list)
    rotate: list[dict[str, Any]] | None = None
    sends: list[OutgoingMessage | tuple[str, Any]] = field(default_factory=list)
    replies: list[Reply | tuple[Any, Any]] = field(default_factory=list)
    log_entries: list[LogEntry] = field(default_factory=list)

    def send(self, address: str, message: object) -> None:
        """Add a message to be sent to `address`."""
        self.sends.append(OutgoingMessage(address, message))

    def reply(self, token: Hashable, result: object) -> None:
        """Add the result for the caller that waits under `token`."""
        self.replies.append(Reply(token, result))

    def log(self, component: str, event: str, **fields: Any) -> None:
        """Add a line to be logged."""
        self.log_entries.append(LogEntry(component, event, fields))

    def join(self, other: "Plan") -> "Plan":
        """Add another controller's plan for the same step; returns this plan."""
        if other.rotate is not None:
            # A new segment contains all that was to be written before it.
            self.rotate, self.records = other.rotate, []
        self.records += other.records
        self.sends += other.sends
        self.replies += other.replies
        self.log_entries += other.log_entries
        return self
