"""Judges a history: key by key, and with the shortest part of it that has no explanation."""

from dataclasses import dataclass

from willowpost.history.records import CONFIGURATION_KEY, PURGE_KEY, Call
from willowpost.history.registers import ConfigurationRegister, EvacuationRegister
from willowpost.history.search import STEPS_MOST, Finding, LinearizationSearch
from willowpost.history.window import UnexplainedWindow


@dataclass(frozen=True, slots=True)
class Verdict:
    """What was found for one key.

    Attributes:
        key: The register's key.
        finding: Whether its calls have a linearization.
        calls: How many calls were judged.
        steps: Steps of the search.
        window: If unexplained: the answered calls of a short part of the history that has no
            explanation, whatever stood before it.
    """

    key: str
    finding: Finding
    calls: int
    steps: int
    window: tuple[Call, ...] = ()


class HistoryChecker:
    """Linearizability check of the control registers.

    Args:
        steps_most: Bound of the search for each key; beyond it the finding is UNDECIDED.
    """

    def __init__(self, steps_most: int = STEPS_MOST):
        self.steps_most = steps_most

    def judge(self, calls) -> tuple[Verdict, ...]:
        """A verdict for each key, by name. Purges change no register and are passed over."""
        by_key: dict[str, list[Call]] = {}
        for call in calls:
            if call.request.key != PURGE_KEY:
                by_key.setdefault(call.request.key, []).append(call)
        return tuple(self._judge_key(key, tuple(by_key[key])) for key in sorted(by_key))

    def _judge_key(self, key: str, calls: tuple[Call, ...]) -> Verdict:
        register = register_of(key)
        linearization = LinearizationSearch(register, calls, self.steps_most)
        finding = linearization.run()
        window: tuple[Call, ...] = ()
        if finding is Finding.UNEXPLAINED:
            window = UnexplainedWindow(register).of(calls)
        return Verdict(key, finding, len(calls), linearization.steps, window)


def register_of(key: str):
    """The sequential specification of a key."""
    return ConfigurationRegister() if key == CONFIGURATION_KEY else EvacuationRegister()
