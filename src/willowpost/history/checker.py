"""Checks a history key by key, and finds the shortest window of it that is not linearizable."""

from collections.abc import Iterable
from dataclasses import dataclass

from willowpost.history.records import CONFIGURATION_KEY, PURGE_KEY, Call
from willowpost.history.registers import ConfigurationRegister, EvacuationRegister
from willowpost.history.search import MAX_SEARCH_STEPS, Linearizability, LinearizationSearch
from willowpost.history.specification import SequentialSpecification, State
from willowpost.history.violation_window import ViolationWindow


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result for one key.

    Attributes:
        key: The register's key.
        result: Whether its calls have a linearization.
        calls: How many calls were checked.
        steps: Steps of the search.
        window: If not linearizable: the answered calls of a short window of the history that is
            not linearizable, whatever came before it.
    """

    key: str
    result: Linearizability
    calls: int
    steps: int
    window: tuple[Call, ...] = ()


class HistoryChecker:
    """Linearizability check of the control registers.

    Args:
        max_steps: Limit of the search for each key; beyond it the result is UNDECIDED.
    """

    def __init__(self, max_steps: int = MAX_SEARCH_STEPS) -> None:
        self.max_steps = max_steps

    def check(self, calls: Iterable[Call]) -> tuple[Verdict, ...]:
        """A verdict for each key, by name. Purges change no register and are passed over."""
        by_key: dict[str, list[Call]] = {}
        for call in calls:
            if call.request.key != PURGE_KEY:
                by_key.setdefault(call.request.key, []).append(call)
        return tuple(self._check_key(key, by_key[key]) for key in sorted(by_key))

    def _check_key(self, key: str, calls: list[Call]) -> Verdict:
        match register_of(key):
            case ConfigurationRegister() as register:
                return self._check_register(key, register, calls)
            case EvacuationRegister() as zone_register:
                return self._check_register(key, zone_register, calls)

    def _check_register(
        self, key: str, register: SequentialSpecification[State], calls: list[Call]
    ) -> Verdict:
        search = LinearizationSearch(register, calls, self.max_steps)
        result = search.run()
        window: tuple[Call, ...] = ()
        if result is Linearizability.NOT_LINEARIZABLE:
            window = ViolationWindow(register).find(calls)
        return Verdict(key, result, len(calls), search.steps, window)


def register_of(key: str) -> ConfigurationRegister | EvacuationRegister:
    """The sequential specification of a key."""
    return ConfigurationRegister() if key == CONFIGURATION_KEY else EvacuationRegister()
