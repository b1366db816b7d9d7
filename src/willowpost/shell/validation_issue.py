"""What is wrong with settings or a body, in the form that programs print."""

from typing import TypedDict


class PrintedIssue(TypedDict):
    """One thing that is wrong; the keys are part of the programs' output and of /v1 bodies.

    Attributes:
        place: path of the field, its names joined by "/"; "/" for the whole.
        finding: what is wrong with it.
    """

    place: str
    finding: str
