"""How a try toward an origin or a shield comes to nothing."""


class Breakdown(Exception):
    """Invariants: `sent` is False only if no byte of the request can have left;
    `died` is True only if the process that we knew there is no longer there."""

    def __init__(self, what: str, sent: bool, died: bool = False):
        super().__init__(what)
        self.what = what
        self.sent = sent
        self.died = died
