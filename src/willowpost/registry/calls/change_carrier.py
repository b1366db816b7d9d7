"""How a proposed configuration is carried to the log: as a difference where that is smaller."""

import json
from typing import Any

from willowpost.configuration.delta import ConfigurationDelta
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.tables import Tables

# A difference is void if another change is decided first; after so many the whole is carried.
DIFFERENCES_TRIED = 3
# The whole is carried if the difference is not at most this part of it.
WORTHWHILE_PART = 0.5


class ChangeCarrier:
    """Makes the fields of a proposal's operation that depend on what is in force.

    A change without a number is fenced by the version it replaces. A difference is fenced by the
    digest of the configuration it was made from: the log refuses it as superseded on any other.
    """

    def __init__(self, proposal: ConfigurationProposal):
        self.proposal = proposal
        self.differences_left = 0 if proposal.tree is None else DIFFERENCES_TRIED
        self.whole_size: int | None = None

    def fields(self, tables: Tables) -> dict[str, Any]:
        """Return the fields to replace in the operation, by the tables held here."""
        fields: dict[str, Any] = (
            {"known_version": tables.configuration.version} if self.proposal.version is None else {}
        )
        return fields | self._difference(tables)

    def _difference(self, tables: Tables) -> dict[str, Any]:
        proposal, newest = self.proposal, tables.configuration_changes.newest()
        held = tables.configuration
        if proposal.tree is None or newest is None or not held.tree:
            return {}
        if not self.differences_left:
            return {}
        self.differences_left -= 1
        delta = ConfigurationDelta.between(held.tree, held.source, proposal.tree, proposal.source)
        if delta.size() > WORTHWHILE_PART * self._whole_size():
            return {}
        return {
            "tree": None,
            "source": None,
            "base": newest.content,
            "tree_delta": delta.tree,
            "source_delta": delta.source,
        }

    def _whole_size(self) -> int:
        if self.whole_size is None:
            document = json.dumps([self.proposal.tree, self.proposal.source])
            self.whole_size = len(document)
        return self.whole_size
