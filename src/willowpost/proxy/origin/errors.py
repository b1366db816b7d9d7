"""The error of one exchange with an origin or a shield."""

from enum import Enum

from willowpost.common.errors import WillowpostError


class FailureReason(Enum):
    """Why an exchange failed; it decides for how long the origin is ejected."""

    CONNECTION_FAILED = "broke"  # broken off, timed out, or not reachable
    INCARNATION = "incarnation"  # another incarnation answers at the address
    BUSY = "busy"  # the origin rejected the request
    SERVICE = "service"  # all origins of the service would reject the request


class ExchangeError(WillowpostError):
    """An exchange ended without a usable response.

    Attributes:
        description: A description for logs and error replies.
        was_sent: False only if no byte of the request can have left.
        is_process_gone: True only if the process that was connected to before is no longer there.
        may_have_executed: False only if the origin has not executed the request and never will.
        timed_out: The other side sent nothing for as long as the proxy would wait.
        reason: The kind of failure.
    """

    def __init__(
        self,
        description: str,
        was_sent: bool,
        is_process_gone: bool = False,
        may_have_executed: bool | None = None,
        timed_out: bool = False,
        reason: FailureReason = FailureReason.CONNECTION_FAILED,
    ) -> None:
        super().__init__(description)
        self.description = description
        self.was_sent = was_sent
        self.is_process_gone = is_process_gone
        self.may_have_executed = was_sent if may_have_executed is None else may_have_executed
        self.timed_out = timed_out
        self.reason = reason
