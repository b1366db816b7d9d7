"""The command `wpdrill model`: searches a scope, walks beyond it, replays a trace."""

from dataclasses import replace
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from willowpost.model.protections import PROTECTIONS
from willowpost.model.replay import format_as_test, format_trace, load_trace, replay, save_trace
from willowpost.model.scopes import SCOPES
from willowpost.model.search import BreadthFirstSearch, Counterexample, Limits, Progress
from willowpost.model.switches import Switches
from willowpost.model.system import System
from willowpost.model.walks import RandomWalks, WalkProgress

NO_VIOLATION, BROKEN, UNKNOWN = 0, 1, 2  # exit codes


class ModelCommand(Command):
    """The command `model`; it exits with 1 exactly when a rule was broken."""

    name = "model"
    description = "Checks the stores' own controllers in every order of deliveries and faults."
    arguments = [argument("scope", f"One of {', '.join(SCOPES)}.", optional=True)]
    options = [
        option("depth", "d", "Actions from the first state, at most; for walks 60.", flag=False),
        option("states", None, "States to search, at most.", flag=False),
        option("seconds", None, "Seconds to search or walk, at most.", flag=False),
        option("walks", "w", "Walk at random so many times instead of searching.", flag=False),
        option("seed", None, "Seed of the walks.", flag=False, default="1"),
        option("without", None, f"Switch off one of {', '.join(PROTECTIONS)}.", flag=False),
        option("replay", None, "Replay the trace in this file.", flag=False),
        option("save", None, "Write a counterexample's trace to this file.", flag=False),
        option("as-test", None, "Print a counterexample as a Python test too."),
    ]
    help = """Without --walks the search is breadth first: the counterexample that it prints is a
shortest. It says whether it saw every state of the scope. Exits with 1 when a rule is broken.

  <info>wpdrill model one-command --seconds 60</info>
  <info>wpdrill model replaced-late --walks 1000 --depth 60 --seed 7 --save trace.json</info>
  <info>wpdrill model --replay trace.json</info>
  <info>wpdrill model --without synced-before-accepted</info>"""

    def handle(self) -> int:
        """Runs what the options ask for."""
        without = self.option("without")
        if without and without not in PROTECTIONS:
            return self._unknown(f"no protection {without}")
        if not without:
            return self._check(Switches(), self.argument("scope"))
        protection = PROTECTIONS[without]
        with protection.switched_off() as switches:
            return self._check(switches, self.argument("scope") or protection.scope)

    def _check(self, switches: Switches, scope: str | None) -> int:
        actions = None
        if self.option("replay"):
            try:
                scope, actions = load_trace(Path(self.option("replay")))
            except (OSError, ValueError) as problem:
                return self._unknown(str(problem))
        if scope not in SCOPES:
            return self._unknown(f"no scope {scope}; there are {', '.join(SCOPES)}")
        if actions is not None:
            return self._judge(scope, replay(System(SCOPES[scope], switches), actions))
        if self.option("walks"):
            return self._walk(scope, switches)
        return self._search(scope, switches)

    def _unknown(self, finding: str) -> int:
        self.line_error(finding)
        return UNKNOWN

    def _number(self, name: str) -> int | None:
        return int(self.option(name)) if self.option(name) else None

    def _seconds(self) -> float | None:
        return float(self.option("seconds")) if self.option("seconds") else None

    def _search(self, scope: str, switches: Switches) -> int:
        limits = Limits(self._number("depth"), self._number("states"), self._seconds())
        system = System(SCOPES[scope], switches)
        result = BreadthFirstSearch(system, limits, self._say_progress).run()
        self._say_progress(result.progress)
        if result.counterexample is None:
            self.line(
                f"{scope}: every state of the scope was seen"
                if result.complete
                else f"{scope}: ended at a limit; all states up to {result.progress.depth} actions "
                "from the first were expanded"
            )
        return self._judge(scope, result.counterexample)

    def _say_progress(self, progress: Progress) -> None:
        self.line(
            f"{progress.states} states, {progress.transitions} transitions, depth "
            f"{progress.depth}, {progress.waiting} waiting, {progress.seconds:.1f} s"
        )

    def _walk(self, scope: str, switches: Switches) -> int:
        system = System(replace(SCOPES[scope], messages_stay=False), switches)
        depth, seed = self._number("depth") or 60, int(self.option("seed"))
        walks = RandomWalks(system, depth, seed, self._say_walks)
        result = walks.run(int(self.option("walks")), self._seconds())
        self._say_walks(result.progress)
        return self._judge(scope, result.counterexample)

    def _say_walks(self, progress: WalkProgress) -> None:
        self.line(f"{progress.walks} walks, {progress.steps} steps, {progress.seconds:.1f} s")

    def _judge(self, scope: str, found: Counterexample | None) -> int:
        if found is None:
            self.line(f"{scope}: no rule was broken")
            return NO_VIOLATION
        self.line(f"{scope}: {found.rule}, in {len(found.actions)} actions")
        self.line(format_trace(found))
        if self.option("as-test"):
            self.line(format_as_test(scope, found))
        if self.option("save"):
            save_trace(Path(self.option("save")), scope, found)
        return BROKEN
