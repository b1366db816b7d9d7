"""The command `wpdrill pace`: how the core decides, by its settings and the network."""

from itertools import product
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.drill.deployment import shipped
from willowpost.sim.pace import PaceMeasure

DEFAULT_RESEND_MS = 60
HEADINGS = (
    "freeze ms | jitter ms | asked /s | commands | slots | NULL | fast path | "
    "accepted p50 ms | p99 ms"
)


class PaceCommand(Command):
    """Measures the core's pace in the simulator."""

    name = "pace"
    description = (
        "Measures in the simulator how the core decides: fast path, forfeits, time to acceptance."
    )
    arguments: ClassVar[list[Any]] = [
        argument(
            "deployment", "Whose zones, regions and pace.", optional=True, default="invitations"
        )
    ]
    options: ClassVar[list[Any]] = [
        option(
            "freeze",
            None,
            "Freeze times in ms to compare, with commas; the deployment's own if not given.",
            flag=False,
        ),
        option("rates", None, "Commands a second, with commas.", flag=False, default="5,20,50"),
        option(
            "jitter",
            None,
            "Spread of each message's delay, in ms, with commas.",
            flag=False,
            default="0.2,2",
        ),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Print a row for each freeze time, jitter and rate."""
        deployment = shipped(self.argument("deployment"))
        freezes = self.option("freeze") or str(deployment["pace"].get("freeze", 0))
        self.line(HEADINGS)
        for freeze, jitter, rate in product(
            freezes.split(","), self.option("jitter").split(","), self.option("rates").split(",")
        ):
            self.line(self._row(deployment, freeze, jitter, rate))
        return 0

    def _row(self, deployment: dict[str, Any], freeze: str, jitter: str, rate: str) -> str:
        """Measures one combination; its values are as given on the command line."""
        tuning = ReplicaTuning(
            proposal_delay_us=int(float(freeze) * MILLISECOND),
            resend_interval_us=deployment["pace"].get("resend", DEFAULT_RESEND_MS) * MILLISECOND,
        )
        found = PaceMeasure(
            [machine["zone"] for machine in deployment["machines"] if machine["kind"] != "edge"],
            deployment["regions"],
            deployment["between"]["ms"] * MILLISECOND,
            int(float(jitter) * MILLISECOND),
            tuning,
            float(rate),
            int(self.option("seed")),
        ).run()
        return (
            f"{freeze} | {jitter} | {rate} | {found.commands} | {found.slots} | "
            f"{found.null_part:.1%} | {found.fast_part:.1%} | "
            f"{found.accept_p_50:.1f} | {found.accept_p_99:.1f}"
        )
