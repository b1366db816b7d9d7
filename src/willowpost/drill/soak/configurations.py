"""A soak's configuration changes.

Change number n has the routes n and n - 1 only: it adds one and drops one. So a request on a route
shows by which changes it can have been handled.
"""

import copy
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from willowpost.common.clock import Clock
from willowpost.drill.soak.fleet import CONFIGURATION, HOST, MAX_TRIES, SoakFleet
from willowpost.stand_ins.http_call import OK

CHANGE_PAUSE_SECONDS = 0.4
REFUSED_STATUSES = (307, 409, 412, 422, 503)  # of a change that is certainly not in force


@dataclass(slots=True)
class Change:
    """One change; times are µs of the machine's clock.

    Attributes:
        number: Of the change, from 1 on.
        sent_at: When it was sent.
        accepted_at: When it was acknowledged; None: it was not.
        version: That it was acknowledged under; None: it was not.
        is_possible: Whether it may be in force, now or later.
    """

    number: int
    sent_at: int
    accepted_at: int | None = None
    version: int | None = None
    is_possible: bool = True

    def has_route(self, route: int) -> bool:
        """Whether the change has a route."""
        return route in (self.number, self.number - 1)


def tree_of_change(number: int) -> dict[str, Any]:
    """Returns a configuration with the routes of a change; those through shields take turns."""
    changed: dict[str, Any] = copy.deepcopy(CONFIGURATION)
    changed["settings"]["deadline_ms"] += number
    changed["settings"]["tries"] = MAX_TRIES - number % 2
    changed["branches"]["kept"]["settings"]["keep_seconds"] = 1 + number % 3
    for route in (number - 1, number):
        kind = (
            {"kind": "kept", "service": "pages", "keep_seconds": 1}
            if route % 2
            else {"kind": "repeatable"}
        )
        changed["branches"][f"change-{route}"] = {
            "host": HOST,
            "path": f"/change-{route}/",
            "settings": kind,
        }
    return changed


def newest_version(changes: Iterable[Change]) -> int:
    """Returns the newest version that was acknowledged; 0: none."""
    return max((change.version or 0 for change in changes), default=0)


class ConfigurationChanger:
    """The operator: proposes one change after the other.

    Args:
        fleet: The fleet.
        clock: The machine's clock.

    Attributes:
        changes: All changes so far, in their order.
    """

    def __init__(self, fleet: SoakFleet, clock: Clock) -> None:
        self.fleet, self.clock = fleet, clock
        self.changes: list[Change] = []
        self._turn = BoundedSemaphore()

    def change(self) -> bool:
        """Propose another configuration, one at a time; whether it was accepted."""
        with self._turn:
            change = Change(len(self.changes) + 1, self.clock.now())
            self.changes.append(change)
            reply = self.fleet.call("PUT", "/v1/configuration", tree_of_change(change.number))
            if reply is None or reply[0] != OK:
                change.is_possible = reply is None or reply[0] not in REFUSED_STATUSES
                return False
            change.accepted_at, change.version = self.clock.now(), int(reply[2]["version"])
            return True

    def change_steadily(self) -> None:
        """Propose changes until the task is killed."""
        while True:
            self.change()
            gevent.sleep(CHANGE_PAUSE_SECONDS)
