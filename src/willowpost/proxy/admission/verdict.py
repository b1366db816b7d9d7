"""What admission says of one try."""

from enum import Enum


class Let(Enum):
    """Whether a try may be sent."""

    IN = "in"
    OUT = "out"
    ASK = "ask"  # whole tokens are the owner's alone: ask it for one
