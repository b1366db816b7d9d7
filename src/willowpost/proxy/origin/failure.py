"""How a try toward an origin or a shield comes to nothing."""

from enum import Enum


class Why(Enum):
    BROKE = "broke"  # it broke off, was silent, or could not be reached
    INCARNATION = "incarnation"  # another life stands there
    BUSY = "busy"  # it turned the request away
    SERVICE = "service"  # the whole service turns requests away: another origin would too


class ExchangeFailure(Exception):
    """Invariants: `sent` is False only if no byte of the request can have left.

    `ran` is False only if the origin has not run the request and never will: nothing left, or it
    said so; `died` is True only if the process that we knew there is no longer there; `silent`: it
    said nothing for as long as we would wait.
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
