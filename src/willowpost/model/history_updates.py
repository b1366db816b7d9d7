"""Updates the history after the steps of processes."""

import json

from willowpost.model.components import StateComponents
from willowpost.model.history import History
from willowpost.model.invariants import record_configuration, record_decisions, record_message
from willowpost.model.steps import Outcome


class HistoryUpdates:
    """Updates histories; the result of each outcome on a history is computed once and cached."""

    def __init__(self, components: StateComponents) -> None:
        self.components = components
        self._recordings: dict[tuple[int, str, int], int] = {}

    def after_step(self, history: int, name: str, outcome: Outcome) -> int:
        """The history once this outcome's records are written and its messages have left."""
        key = (history, name, id(outcome))  # outcomes are cached, so their ids are not reused
        if key not in self._recordings:
            after = self.after_sending(self.components.histories[history], name, outcome)
            self._recordings[key] = self.components.histories.intern(after, after)
        return self._recordings[key]

    def after_sending(self, history: History, name: str, outcome: Outcome) -> History:
        """The history once this process wrote and sent that, computed anew.

        Raises:
            InvariantViolationError: The process contradicts itself or another.
        """
        if name in self.components.clients:
            return history
        records = [json.loads(line) for line in outcome.records]
        history = record_decisions(history, records, name)
        history = record_configuration(
            history, self.components.images[outcome.image].node_state.tables, name
        )
        if name in self.components.stores:
            for message in outcome.messages:
                history = record_message(
                    history, self.components.messages[message][2], name, self.components.operations
                )
        return history
