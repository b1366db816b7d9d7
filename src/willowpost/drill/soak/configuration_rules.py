"""Judges by which changes of the configuration requests were handled."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.drill.rules import Findings
from willowpost.drill.soak.configurations import Change
from willowpost.drill.soak.probes import Probe

IN_FORCE_AFTER = 2 * SECOND  # of the acknowledgement
BACK_SLACK = 250 * MILLISECOND
NOT_FOUND = 404


@dataclass(slots=True)
class EdgeHistory:
    """What origins saw of one edge.

    Attributes:
        effects: (when an origin saw a request of a route, number of the route), in their order.
        starts: When the edge's process was started anew, in their order.
    """

    effects: list[tuple[int, int]] = field(default_factory=list)
    starts: list[int] = field(default_factory=list)

    def oldest_possible(self, sent_at: int) -> int:
        """Returns the oldest change by which a request may be handled without going back."""
        started_at = max((start for start in self.starts if start <= sent_at), default=0)
        return max(
            (number for at, number in self.effects if started_at < at < sent_at - BACK_SLACK),
            default=0,
        )


class ConfigurationRules:
    """Judges probes.

    Args:
        changes: All changes, in their order.
        probes: All probes by their id.
        arrivals: Id to (origin, when) of each arrival at an origin.
        starts: Edge to when its process was started anew.
        is_excused: Whether an edge, by its address, may have been out of touch at a moment.
    """

    def __init__(
        self,
        changes: list[Change],
        probes: Mapping[str, Probe],
        arrivals: Mapping[str, Iterable[tuple[str, int]]],
        starts: Mapping[str, list[int]],
        is_excused: Callable[[str, int], bool],
    ) -> None:
        self.changes, self.probes, self.arrivals = changes, probes, arrivals
        self.is_excused = is_excused
        self.edges: dict[str, EdgeHistory] = {}
        for name, probe in probes.items():
            history = self._history(probe.edge, starts)
            history.effects += [(at, probe.route) for _, at in arrivals.get(name, ())]
        for history in self.edges.values():
            history.effects.sort()

    def judge(self, findings: Findings) -> None:
        """Adds a row for each rule."""
        late, back = self._late(), self._back()
        count = len(self.probes)
        seen = f"{len(self.changes)} changes, {count} probes,"
        findings.add_violations("an accepted change is in force in time", seen, late)
        findings.add_violations("no edge goes back to an older change", seen, back)

    def _history(self, edge: str, starts: Mapping[str, list[int]]) -> EdgeHistory:
        history = self.edges.get(edge)
        if history is None:
            history = self.edges[edge] = EdgeHistory(starts=sorted(starts.get(edge, ())))
        return history

    def _late(self) -> list[str]:
        return [
            f"{name} {fault}"
            for name, probe in self.probes.items()
            if not self.is_excused(probe.edge, probe.sent_at)
            for fault in self._faults(name, probe, self._accepted_before(probe.sent_at))
        ]

    def _back(self) -> list[str]:
        return [
            f"{name} {fault}"
            for name, probe in self.probes.items()
            for fault in self._faults(
                name, probe, self.edges[probe.edge].oldest_possible(probe.sent_at)
            )
        ]

    def _accepted_before(self, sent_at: int) -> int:
        """Returns the newest change that must be in force for a request sent then."""
        return max(
            (
                change.number
                for change in self.changes
                if change.accepted_at is not None and change.accepted_at + IN_FORCE_AFTER < sent_at
            ),
            default=0,
        )

    def _faults(self, name: str, probe: Probe, oldest: int) -> Iterable[str]:
        """Yields how a request was handled in a way that no change from `oldest` on allows."""
        at = f"on route {probe.route} at {probe.edge}, change {oldest} in force"
        for origin, arrived_at in self.arrivals.get(name, ()):
            if not any(
                change.has_route(probe.route) for change in self._possible(oldest, arrived_at)
            ):
                yield f"ran at {origin} {at}"
        if probe.status == NOT_FOUND and probe.answered_at is not None:
            possible = self._possible(oldest, probe.answered_at)
            if possible and all(change.has_route(probe.route) for change in possible):
                yield f"got 404 {at}"

    def _possible(self, oldest: int, until: int) -> list[Change]:
        return [
            change
            for change in self.changes
            if change.number >= oldest and change.sent_at <= until and change.is_possible
        ]
