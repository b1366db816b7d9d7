"""The error for stored data or text in a format that this build does not read."""

from willowpost.common.errors import WillowpostError


class UnknownFormatError(WillowpostError):
    """Data was written in a format that this build does not read.

    Attributes:
        found: the format that the data names.
    """

    def __init__(self, subject: str, found: object, supported: int) -> None:
        super().__init__(f"{subject} has format {found!r}; this build reads {supported}")
        self.found = found
