"""Measures at increasing sizes, fits the costs and prints the result for the design size."""

from dataclasses import replace

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.drill.capacity.fit import Fitter
from willowpost.drill.capacity.lightweight import LightweightFleet
from willowpost.drill.capacity.size import BUDGET, DESIGN, LADDER, Budget, Size
from willowpost.drill.capacity.steps import StepCosts
from willowpost.drill.capacity.units import UnitCosts, resident
from willowpost.drill.capacity.wire import WireCost
from willowpost.sim.pace import PaceMeasure

NAMES = (
    "steps",
    "micros",
    "yard",
    "longest_ms",
    "bytes_out",
    "bytes_in",
    "messages_out",
    "messages_in",
)
FITTED = ("micros", "bytes_out", "bytes_in", "messages_out", "messages_in")
# commands a second, if purges were gathered for a fifth of a second in one place
GATHERED = 5.0
BASE = Size(400, 50, 500, 20.0, 8, registries=8)
SWEEPS = {
    "daemons": {count: replace(BASE, daemons=count) for count in (150, 400, 700, 1000)},
    "origins": {count: replace(BASE, origins=count) for count in (10, 50, 150, 310)},
    "purges a second": {rate: replace(BASE, purges=rate) for rate in (5.0, 20.0, 40.0, 75.0)},
    "proxies of a zone": {
        round(BASE.proxies / zones): replace(BASE, zones=zones) for zones in (30, 16, 8, 4)
    },
}
PARTS = ("ladder", "design", "sweeps", "units", "steps", "wire", "log")


def shown(value: float) -> str:
    """A figure with at most three digits, or whole from 100 on."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def brought(figures, name: str, yard: float) -> float:
    """A figure; processor time as it would have been, had the yardstick taken `yard`."""
    return getattr(figures, name) * (yard / figures.yard if name == "micros" else 1)


class Report:
    """Prints figures measured in this run, and computed ones with the fit they come from."""

    def __init__(
        self, line, seed: int = 1, budget: Budget = BUDGET, warm: float = 3.5, span: float = 3.0
    ):
        self.line, self.seed, self.budget, self.warm, self.span = line, seed, budget, warm, span
        self.fitter = Fitter()
        self.fits: dict = {}  # (role, figure) -> Fit over the ladder
        # the least of the ladder: what its processor times were brought to
        self.yard = 0.0

    def run(self, parts, ladder=LADDER) -> None:
        """Run the parts in their order and print what each measures."""
        acts = {
            "ladder": lambda: self.ladder(ladder),
            "design": self.design,
            "sweeps": self.sweeps,
            "units": self.units,
            "steps": self.steps,
            "wire": self.wire,
            "log": self.log,
        }
        for part in parts:
            acts[part]()

    def ladder(self, sizes) -> dict:
        """Measure fleets of rising sizes and fit each role's figures; the figures by size."""
        self.line(
            "Rising sizes: each role's daemon, a second of virtual time; "
            "yard: what the yardstick took, in µs; fits are brought to its least\n"
        )
        self.line("daemons | origins | purges/s | role | " + " | ".join(NAMES) + " | most bytes")
        found = {size: self._measured(size) for size in sizes}
        roles = list(dict.fromkeys(role for figures in found.values() for role in figures))
        self.yard = self._least(found)
        self.fits = {
            (role, name): self.fitter.fit(
                [
                    (size.daemons, brought(figures[role], name, self.yard))
                    for size, figures in found.items()
                    if role in figures
                ]
            )
            for role in roles
            for name in FITTED
        }
        self.line(
            "\nrole | figure | least squares over n = daemons | widest miss | "
            f"at n = {DESIGN.daemons}"
        )
        for (role, name), fit in self.fits.items():
            self.line(
                f"{role} | {name} | {fit.text()} | {fit.residual:.1%} | "
                f"{shown(fit.at(DESIGN.daemons))}"
            )
        return found

    def design(self) -> None:
        """Measure the size to design for, beside what the ladder foretells and the budget."""
        self.line(f"\nThe size to design for, run: {DESIGN}")
        self.line("daemons | origins | purges/s | role | " + " | ".join(NAMES) + " | most bytes")
        figures = self._measured(DESIGN)
        self.line("\nrole | figure | measured | worked out from the ladder | budget")
        for role, role_figures in figures.items():
            for name, most in (
                ("micros", self.budget.micros),
                ("bytes_out", self.budget.bytes),
                ("bytes_in", self.budget.bytes),
            ):
                fit = self.fits.get((role, name))
                value = brought(role_figures, name, self.yard or role_figures.yard)
                foretold = shown(fit.at(DESIGN.daemons)) if fit else "not run"
                self.line(
                    f"{role} | {name} | {shown(value)} | {foretold} | {shown(most)}: "
                    f"{value / most:.1f} times"
                )

    def sweeps(self) -> None:
        """Vary one driver at a time round BASE, and fit each role's figures."""
        self.line(f"\nOne thing at a time, round {BASE}")
        self.line("role | figure | by | measured | least squares | widest miss")
        for driver, sizes in SWEEPS.items():
            found = {
                count: LightweightFleet(size, self.seed).measure(self.warm, self.span)
                for count, size in sizes.items()
            }
            for role in dict.fromkeys(role for figures in found.values() for role in figures):
                for name in FITTED:
                    points = [
                        (count, brought(figures[role], name, self._least(found)))
                        for count, figures in found.items()
                        if role in figures
                    ]
                    fit = self.fitter.fit(points)
                    measured = ", ".join(f"{count:g}: {shown(value)}" for count, value in points)
                    self.line(
                        f"{role} | {name} | {driver} | {measured} | "
                        f"{fit.text()} | {fit.residual:.1%}"
                    )

    def units(self) -> None:
        """Measure single pieces of work as one thing grows, and foretell the last point."""
        self.line(
            "\nSingle pieces of work; the last point is left out of the fit and foretold by it"
        )
        self.line(
            "work | by | measured | least squares of all but the last | widest miss | foretold | "
            "measured there"
        )
        costs = UnitCosts()
        for unit in [
            *costs.by_daemons((150, 400, 700, 1000, DESIGN.daemons)),
            *costs.by_routes((500, 2000, 5000, 10_000, DESIGN.routes)),
            *costs.by_entries((1000, 4000, 8000, 16_000)),
            *costs.by_purges((512, 1024, 2048, 4096)),
        ]:
            fit = self.fitter.fit(unit.points[:-1])
            last, value = unit.points[-1]
            points = ", ".join(f"{count}: {shown(cost)}" for count, cost in unit.points[:-1])
            self.line(
                f"{unit.name}, {unit.measure} | {unit.driver} | {points} | {fit.text()} | "
                f"{fit.residual:.1%} | {shown(fit.at(last))} | {shown(value)} at {last}"
            )

    def steps(self) -> None:
        """Measure the cheapest events of each role."""
        self.line("\nThe least events: role | event | µs")
        for role, event, micros in StepCosts().run(self.seed):
            self.line(f"{role} | {event} | {micros:.1f}")

    def wire(self) -> None:
        """Measure one message between two processes over loopback."""
        runs = ", ".join(f"{WireCost().run():.0f}" for _ in range(3))
        self.line(
            f"\nOne message over loopback, both ends, without its encoding, three runs: {runs} µs"
        )

    def log(self) -> None:
        """Measure the log with each voter in a region of its own."""
        self.line(
            "\nThe log with each voter in a region of its own, commands asked of five machines, "
            "10 s of virtual time"
        )
        self.line(
            "ms between regions | commands/s | asked, about | accepted | slots | accepted p50 ms"
        )
        regions = {zone: zone for zone in "abcde"}
        for between in (1, 12, 30, 60):
            for rate in (GATHERED, DESIGN.purges):
                found = PaceMeasure(
                    list("abcde"),
                    regions,
                    between * MILLISECOND,
                    MILLISECOND,
                    ReplicaTuning(),
                    rate,
                    self.seed,
                ).run(10.0)
                self.line(
                    f"{between} | {rate:g} | {rate * 10:g} | {found.commands} | {found.slots} | "
                    f"{found.accept_p_50:.0f}"
                )

    def _least(self, found):
        return min(
            role_figures.yard for figures in found.values() for role_figures in figures.values()
        )

    def _measured(self, size):
        fleet = LightweightFleet(size, self.seed)
        figures = fleet.measure(self.warm, self.span)
        for role, role_figures in figures.items():
            most = ", ".join(
                f"{kind} {shown(rate)}" for kind, rate in list(role_figures.kinds.items())[:3]
            )
            self.line(
                f"{size.daemons} | {size.origins} | {size.purges:g} | {role} | "
                + " | ".join(shown(getattr(role_figures, name)) for name in NAMES)
                + f" | {most}"
            )
        self.line(
            f"  tables as text {shown(len(fleet.tables.text()))} bytes; "
            f"this process holds {resident() / 1e6:.0f} MB"
        )
        return figures
