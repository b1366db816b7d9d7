"""Messages between a daemon that submits a command and a store."""

from dataclasses import dataclass

from willowpost.wire.messages.consensus import EMPTY_COMMAND, Command


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """A command that a daemon wants decided; a store answers with `CommandAccepted`."""

    command: Command = EMPTY_COMMAND


@dataclass(frozen=True, slots=True)
class CommandAccepted:
    """The command is decided and synced on n - f voters.

    Attributes:
        key: of the command.
        slot: that decided it, or the store's newest one if that is not known.
        results: JSON: a list with one result per operation; null if they are not stored any
            more; or an object with `barred` or `forgotten`, see `acceptance.Outcome`.
    """

    key: str = ""
    slot: int = 0
    results: str = "[]"
