"""`wpdrill check history FILE`: judges a recorded history of control calls."""

import json

from cleo.commands.command import Command
from cleo.helpers import argument

from willowpost.history.checker import HistoryChecker, Verdict
from willowpost.history.codec import HistoryFormatError, read_history
from willowpost.history.search import Linearizability

EXIT_CODES = {
    Linearizability.LINEARIZABLE: 0,
    Linearizability.NOT_LINEARIZABLE: 1,
    Linearizability.UNDECIDED: 3,
}
UNREADABLE = 2


class CheckHistoryCommand(Command):
    """Prints a verdict for each register, and the shortest window that has no explanation."""

    name = "check history"
    description = "Judges a recorded history of control calls by a linearizability check."
    arguments = [argument("file", "A history: JSON lines, as a drill writes them.")]
    help = """Exits with 1 when a part of the history has no explanation, with 2 when the file
cannot be read, with 3 when the search was given up at its bound.

  <info>wpdrill check history /tmp/history.jsonl</info>"""

    def handle(self) -> int:
        """Judge the file; the exit code says the worst result."""
        try:
            calls = read_history(self.argument("file"))
        except (HistoryFormatError, OSError) as problem:
            self.line_error(json.dumps({"place": self.argument("file"), "finding": str(problem)}))
            return UNREADABLE
        verdicts = HistoryChecker().check(calls)
        for verdict in verdicts:
            self._print(verdict)
        if not verdicts:
            self.line("no calls to judge")
        results = {verdict.result for verdict in verdicts}
        if Linearizability.NOT_LINEARIZABLE in results:
            return EXIT_CODES[Linearizability.NOT_LINEARIZABLE]
        return max((EXIT_CODES[result] for result in results), default=0)

    def _print(self, verdict: Verdict) -> None:
        self.line(
            f"{verdict.key}: {verdict.result.value}, {verdict.calls} calls, {verdict.steps} steps"
        )
        if verdict.window:
            began = min(call.invoked_at for call in verdict.window)
            ended = max(call.returned_at or call.invoked_at for call in verdict.window)
            self.line(f"  no explanation from {began / 1e6:.6f} s to {ended / 1e6:.6f} s:")
        for call in verdict.window:
            self.line(f"  {call.describe()}")
