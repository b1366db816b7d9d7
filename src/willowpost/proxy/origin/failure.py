"""The error of one exchange with an origin or a shield."""

from enum import Enum

from willowpost.common.errors import WillowpostError


class Why(Enum):
    """Why an exchange failed; it decides for how long the origin is ejected."""

    BROKE = "broke"  # broken off, timed out, or not reachable
    INCARNATION = "incarnation"  # another incarnation answers at the address
    BUSY = "busy"  # the origin rejected the request
    SERVICE = "service"  # all origins of the service would reject the request


class ExchangeFailure(WillowpostError):
    """An exchange ended without a usable response.

    Attributes:
        what: A description for logs and error replies.
        sent: False only if no byte of the request can have left.
        died: True only if the process that was connected to before is no longer there.
        ran: False only if the origin has not executed the request and never will.
        silent: The other side sent nothing for as long as the proxy would wait.
        why: The kind of failure.
    """

    def __init__(
        self,
        what: str,
        sent: bool,
        died: bool = False,
        ran: bool | None = None,
        silent: bool = False,
        why: Why = Why.BROKE,
    ) -> None:
        super().__init__(what)
        self.what = what
        self.sent = sent
        self.died = died
        self.ran = sent if ran is None else ran
        self.silent = silent
        self.why = why
