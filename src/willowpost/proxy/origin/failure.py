"""The failure of one exchange with an origin or a shield."""

from enum import Enum


class Why(Enum):
    """What an exchange failed of; it decides for how long the origin is avoided."""

    BROKE = "broke"  # it broke off, was silent, or could not be reached
    INCARNATION = "incarnation"  # another life stands there
    BUSY = "busy"  # it turned the request away
    SERVICE = "service"  # the whole service turns requests away: another origin would too


class ExchangeFailure(Exception):
    """An exchange without a usable response.

    Attributes:
        what: A description for logs and error replies.
        sent: False only if no byte of the request can have left.
        died: True only if the process that was connected to before is no longer there.
        ran: False only if the origin has not run the request and never will.
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
    ):
        super().__init__(what)
        self.what = what
        self.sent = sent
        self.died = died
        self.ran = sent if ran is None else ran
        self.silent = silent
        self.why = why
