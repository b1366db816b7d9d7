"""Version checks for what is kept on disk or sent as text."""


class UnknownFormat(Exception):
    """Data was written in a format that this build does not read."""

    def __init__(self, what: str, found: object, known: int):
        super().__init__(f"{what} has format {found!r}; this build reads {known}")
        self.found = found
