"""What admission says of one try."""

from enum import Enum


class Let(Enum):
    IN = "in"
    OUT = "out"
    ASK = "ask"  # whole tokens are the owner's alone: ask it for one
