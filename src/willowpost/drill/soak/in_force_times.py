"""How long after its acknowledgement a change is in force, by the logs of proxies."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime
from math import ceil

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.drill.soak.configurations import Change

IN_FORCE_MESSAGE = "configuration: in force"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class InForce:
    """A proxy has taken a version into force.

    Attributes:
        version: of the configuration.
        at: when, by the wall clock, in µs.
    """

    version: int
    at: int


def read_log(lines: Iterable[str]) -> list[InForce]:
    """Returns what a proxy's log says of versions in force; other lines are skipped."""
    found = []
    for line in lines:
        if IN_FORCE_MESSAGE not in line:
            continue
        entry = json.loads(line)
        logged_at = datetime.strptime(entry["time"], TIME_FORMAT)  # local, as logged
        found.append(InForce(entry["version"], int(logged_at.timestamp() * SECOND)))
    return found


class InForceTimes:
    """The times from acknowledgements to versions in force.

    Args:
        changes: All changes; only those with a version and an acknowledgement count.
        wall_offset: µs of the wall clock less the machine's clock.
        is_excused: Whether a proxy, by its key, may have been out of touch, down or still at a
            moment of the machine's clock.
    """

    def __init__(
        self, changes: list[Change], wall_offset: int, is_excused: Callable[[str, int], bool]
    ) -> None:
        self.changes, self.wall_offset, self.is_excused = changes, wall_offset, is_excused
        self.spans: list[int] = []

    def add(self, proxy: str, in_force: list[InForce]) -> None:
        """Adds the times of one proxy; a version above a change's own stands for it as well."""
        for change in self.changes:
            if change.accepted_at is None or change.version is None:
                continue
            if self.is_excused(proxy, change.accepted_at):
                continue
            accepted_at = change.accepted_at + self.wall_offset
            times = [entry.at for entry in in_force if entry.version >= change.version]
            if times:
                self.spans.append(max(0, min(times) - accepted_at))

    def percentile(self, part: float) -> int:
        """Returns the span, in µs, that this part of all is at most; 0 without any."""
        ranked = sorted(self.spans)
        return ranked[max(0, ceil(part * len(ranked)) - 1)] if ranked else 0

    def text(self) -> str:
        """The number of spans, and the median, 99th percentile and longest in ms."""
        shown = " ".join(
            f"{name} {self.percentile(part) // MILLISECOND} ms"
            for name, part in (("p50", 0.5), ("p99", 0.99), ("longest", 1.0))
        )
        return f"{len(self.spans)} times, {shown}"
