"""Orders that a newer one may have overtaken are sent again, by the caller, with a newer position.

A registry cannot tell from an order how old it is: the request may have waited in a process that
stood still, or behind a network partition, while its caller gave up and ordered something else by
way of another registry. So an order takes effect only if nothing newer than the caller's connection
was decided. Otherwise the caller is redirected (RFC 9110, 15.4.8) to the same call with the
position that is known now: only a caller that still waits follows, and what it orders afterwards is
decided later than that position.
"""

import re
from typing import TypeAlias
from urllib.parse import parse_qs

from result import Err, Ok, Result

from willowpost.common.log_position import LogPosition
from willowpost.registry.api.responses import ValidationIssue, rejection
from willowpost.shell.web import KNOWN_POSITION, Request, Response

POSITION = re.compile(r"([0-9]{1,19})\.([0-9]{1,19})")
TEMPORARY_REDIRECT = 307

ParsedPosition: TypeAlias = Result[LogPosition, Response]


def parse_position(call: Request, known_before: LogPosition) -> ParsedPosition:
    """Return the position that an order is fenced by.

    Args:
        call: its query may name the position, as `redirection` wrote it.
        known_before: the position known before the call came.

    Returns:
        The position; an error is the response to the call.
    """
    named = parse_qs(call.query).get(KNOWN_POSITION)
    if named is None:
        return Ok(known_before)
    position = POSITION.fullmatch(named[0])
    if position is None:
        return Err(rejection(400, ValidationIssue(KNOWN_POSITION, "not a position")))
    return Ok(LogPosition(int(position[1]), int(position[2])))


def redirection(call: Request, position: LogPosition) -> Response:
    """Return the response (307) that has a caller that still waits send its order again, here.

    Args:
        call: the order.
        position: known now.
    """
    known = f"{position.slot}.{position.version}"
    target = f"{call.path}?{KNOWN_POSITION}={known}"
    authority = call.headers.get("host", "")
    location = f"http://{authority}{target}" if authority else target
    value = {"reject": "superseded while it was under way", KNOWN_POSITION: known}
    return Response(TEMPORARY_REDIRECT, value, (("Location", location),))
