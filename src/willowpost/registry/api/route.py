"""A route of the control API, in the form that the router takes."""

from collections.abc import Callable
from typing import NamedTuple

from willowpost.shell.web import Answer, Call


class Route(NamedTuple):
    """One method of one path.

    Attributes:
        method: HTTP method.
        path: "*" in it matches any segment, which becomes a parameter of the call.
        body_limit_bytes: a larger body is rejected.
        handler: makes the response to a call.
    """

    method: str
    path: str
    body_limit_bytes: int
    handler: Callable[[Call], Answer]
