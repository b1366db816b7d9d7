"""Updates the history after the steps of processes."""

import json

from willowpost.model.history import History
from willowpost.model.invariants import record_configuration, record_decisions, record_message
from willowpost.model.parts import Parts
from willowpost.model.steps import Outcome


class Promises:
    """Updates histories; the result of each outcome on a history is computed once and kept."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self._recordings: dict[tuple[int, str, int], int] = {}

    def after_step(self, history: int, name: str, outcome: Outcome) -> int:
        """The history once this outcome's records are written and its messages have left."""
        key = (history, name, id(outcome))  # outcomes are kept, so their ids are not used again
        if key not in self._recordings:
            after = self.after_saying(self.parts.histories[history], name, outcome)
            self._recordings[key] = self.parts.histories.number(after, after)
        return self._recordings[key]

    def after_saying(self, history: History, name: str, outcome: Outcome) -> History:
        """The history once this process wrote and sent that, computed anew.

        Raises:
            Violation: The process takes back something it sent, or contradicts another.
        """
        if name in self.parts.clients:
            return history
        records = [json.loads(line) for line in outcome.records]
        history = record_decisions(history, records, name)
        history = record_configuration(
            history, self.parts.images[outcome.image].node_state.tables, name
        )
        if name in self.parts.stores:
            for message in outcome.messages:
                history = record_message(
                    history, self.parts.messages[message][2], name, self.parts.operations
                )
        return history
