"""What one operation makes of the tables."""

from typing import NamedTuple

from willowpost.state.results import Rejected, Result
from willowpost.state.tables import Tables


class Transition(NamedTuple):
    """The tables after an operation, and what the log answers to it."""

    tables: Tables
    result: Result


def rejected(tables: Tables, reason: str) -> Transition:
    """Return the transition of an operation that changes nothing."""
    return Transition(tables, Rejected(reason))
