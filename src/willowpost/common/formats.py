"""Format numbers of what is kept on disk or sent as text."""


class UnknownFormat(Exception):
    """Written by a build whose format this build does not know; reading on would be a guess."""

    def __init__(self, what: str, found: object, known: int):
        super().__init__(f"{what} has format {found!r}; this build reads {known}")
        self.found = found
