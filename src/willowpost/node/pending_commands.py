"""What a command client has submitted, or is about to submit, and who waits for the outcome."""

from dataclasses import dataclass, field

from willowpost.state.operations import Operation
from willowpost.wire.messages import Command


@dataclass(frozen=True, slots=True)
class Submission:
    """Operations that one caller in this process wants in the log.

    Attributes:
        token: under which the caller waits for the outcome; None if nobody waits.
        operations: in the order in which the log is to apply them.
        expires_at: µs, own clock; from then on nobody needs the operations. None: always needed.
    """

    token: object
    operations: tuple[Operation, ...]
    expires_at: int | None = None

    @property
    def is_unconditional(self) -> bool:
        """Whether it is retried until the log answers, however long that takes."""
        return self.token is None and self.expires_at is None

    def is_repeat_of(self, other: "Submission") -> bool:
        """Whether nobody waits for either, and their operations and kind of lifetime are equal."""
        return (
            self.token is None
            and other.token is None
            and self.operations == other.operations
            and self.is_unconditional == other.is_unconditional
        )

    def is_needed(self, now: int) -> bool:
        """Whether the operations have not expired at `now` (µs, own clock)."""
        return self.expires_at is None or now < self.expires_at


@dataclass(slots=True)
class PendingCommand:
    """A command that no store has answered yet.

    Attributes:
        command: what is submitted.
        submissions: those that the command was made of.
        sent_at: when it was last sent; µs, own clock.
        sent_to: address of the store it was last sent to; empty: none was known.
        withdrawn_tokens: of the submissions whose callers have given up.
    """

    command: Command
    submissions: tuple[Submission, ...]
    sent_at: int
    sent_to: str = ""
    withdrawn_tokens: set[object] = field(default_factory=set)

    def waiting_tokens(self) -> list[object]:
        """Return the tokens of the callers that still wait."""
        return [
            submission.token for submission in self.submissions if self.is_waited_for(submission)
        ]

    def is_waited_for(self, submission: Submission) -> bool:
        """Whether the caller of a submission waits and has not given up."""
        return submission.token is not None and submission.token not in self.withdrawn_tokens

    def is_needed(self, now: int) -> bool:
        """Whether a submission of it is neither withdrawn nor expired at `now` (µs, own clock)."""
        return any(
            submission.token not in self.withdrawn_tokens and submission.is_needed(now)
            for submission in self.submissions
        )
