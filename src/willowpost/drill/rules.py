"""The rules of a drill as a table: what was seen, and whether each was kept."""

from dataclasses import dataclass, field
from typing import Any

from willowpost.stand_ins.callers import Tally

REFUSALS_HANDFUL = 0.005  # of all requests begun after the ramp
EXTRA_PART, EXTRA_FLOOR = 0.2, 60
RATE_OVER = 1.1
COLD_OVER = 1.5
VIOLATIONS_SHOWN = 3


@dataclass(frozen=True, slots=True)
class Row:
    """One rule: what was seen, and whether it was kept."""

    rule: str
    seen: str
    kept: bool


@dataclass(slots=True)
class Findings:
    """The rows of the table; a broken row stays."""

    rows: list[Row] = field(default_factory=list)

    def add(self, rule: str, seen: str, kept: bool) -> None:
        """Add a row."""
        self.rows.append(Row(rule, seen, bool(kept)))

    def add_violations(self, rule: str, seen: str, violations: list[str]) -> None:
        """Add the row of a rule that each violation breaks; it shows the first ones."""
        shown = f"; {violations[:VIOLATIONS_SHOWN]}" if violations else ""
        self.add(rule, f"{seen} {len(violations)} broken{shown}".strip(), not violations)

    @property
    def broken(self) -> list[Row]:
        """The rows of rules that were broken."""
        return [row for row in self.rows if not row.kept]

    def text(self) -> str:
        """The table, a row a line."""
        width = max(len(row.rule) for row in self.rows)
        return "\n".join(
            f"{'kept  ' if row.kept else 'BROKEN'}  {row.rule:<{width}}  {row.seen}"
            for row in self.rows
        )


class TrafficRules:
    """Judges by what callers and origins saw, never by what the daemons report of themselves."""

    def __init__(
        self,
        tally: Tally,
        ledger: dict[str, Any],
        services: dict[str, Any],
        origins: list[dict[str, Any]],
        excused: list[tuple[Any, ...]],
    ):
        self.tally, self.ledger, self.services, self.origins = tally, ledger, services, origins
        # (edge or None, from, to): an edge was killed or frozen then
        self.excused = excused

    def judge(self, findings: Findings, since: int) -> None:
        """Add a row for each rule; refusals count from `since` (µs) on."""
        tally, runs = self.tally, self.ledger["writes"]
        twice = [name for name, count in runs.items() if count > 1]
        findings.add(
            "no write runs twice", f"{len(runs)} writes ran, {len(twice)} twice", not twice
        )
        lied = [name for name in tally.not_run if runs.get(name)]
        findings.add(
            "no write runs after not-run",
            f"{len(tally.not_run)} told not-run, {len(lied)} ran",
            not lied,
        )
        missing = [name for name in tally.done if runs.get(name) != 1]
        findings.add(
            "a write told done ran once",
            f"{len(tally.done)} told done, {len(missing)} otherwise",
            not missing,
        )
        findings.add(
            "only whole, own answers",
            f"{tally.outcomes[200]} answers, {len(tally.wrong)} wrong {tally.wrong[:1] or ''}",
            not tally.wrong,
        )
        strays = self._strays()
        findings.add(
            "only origins of the route's service",
            f"{sum(map(len, self.ledger['services'].values()))} pairs, strays {strays[:2]}",
            not strays,
        )
        refusals = [refusal for refusal in tally.refusals if refusal[0] >= since]
        begun = sum(1 for began, _ in tally.latencies if began >= since)
        findings.add(
            "refusals stay a handful",
            f"{len(refusals)} of {begun}",
            len(refusals) <= max(5, REFUSALS_HANDFUL * begun),
        )
        dropped = [request for request in tally.dropped if not self._excused(request)]
        findings.add(
            "no request dropped",
            f"{len(dropped)} dropped, {len(tally.dropped) - len(dropped)} at killed edges "
            f"{dropped[:1] or ''}",
            not dropped,
        )
        for name, service in self.services.items():
            most = self._most(name, 5)
            findings.add(
                f"{name} within a tenth over its rate in 5 s",
                f"at most {most} of {service['rate'] * 5:.0f}",
                most <= service["rate"] * 5 * RATE_OVER,
            )

    def _strays(self) -> list[tuple[str, str]]:
        by_path = {kind: service for kind, service in self.ledger.get("paths", {}).items()}
        return [
            (address, part)
            for address, counts in self.ledger["services"].items()
            for part in counts
            if part in by_path
            and by_path[part]
            != next(origin["service"] for origin in self.origins if origin["address"] == address)
        ]

    def _excused(self, dropped: tuple[int, str, str]) -> bool:
        began, edge, _ = dropped
        return any(
            (excused_edge is None or excused_edge == edge) and start <= began <= end
            for excused_edge, start, end in self.excused
        )

    def _most(self, service: str, span: int) -> int:
        members = {origin["address"] for origin in self.origins if origin["service"] == service}
        seconds: dict[int, int] = {}
        for address in members & self.ledger["seen"].keys():
            for second, count in self.ledger["seen"][address].items():
                seconds[int(second)] = seconds.get(int(second), 0) + count
        return max(
            (sum(seconds.get(start + step, 0) for step in range(span)) for start in seconds),
            default=0,
        )
