"""Version checks for what is kept on disk or sent as text."""

from willowpost.common.errors import WillowpostError


class UnknownFormatError(WillowpostError):
    """Data was written in a format that this build does not read.

    Attributes:
        found: the format that the data names.
    """

    def __init__(self, what: str, found: object, known: int):
        super().__init__(f"{what} has format {found!r}; this build reads {known}")
        self.found = found
