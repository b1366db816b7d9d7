"""How a proposed configuration is carried to the log: as a delta where that is smaller."""

import json
from dataclasses import replace

from willowpost.configuration.delta import ConfigurationDelta
from willowpost.state.apply.configurations import is_superseded
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.tables import Tables

# A delta is void if another change is decided first; after so many the tree itself is carried.
MAX_DELTA_ATTEMPTS = 3
# The tree itself is carried if the delta is larger than this fraction of it.
MAX_DELTA_FRACTION = 0.5


class ProposalEncoder:
    """Makes the operation of a proposal on top of the configuration that is in force.

    A change that requires no version is fenced by its `known_version`. A delta is fenced by the
    digest of the configuration it was made from: the log supersedes it on any other.
    """

    def __init__(self, proposal: ConfigurationProposal) -> None:
        self.proposal = proposal
        self.delta_attempts_left = 0 if proposal.tree is None else MAX_DELTA_ATTEMPTS
        self._full_size: int | None = None

    def encode(self, tables: Tables) -> ConfigurationProposal | None:
        """Return the proposal as it is submitted on top of these tables; None: superseded."""
        proposal = self.proposal
        if is_superseded(tables, proposal):
            return None
        delta = self._delta(tables)
        newest = tables.configuration_changes.newest()
        if delta is None or newest is None:
            return proposal
        return replace(
            proposal,
            tree=None,
            source=None,
            base=newest.content,
            tree_delta=delta.tree,
            source_delta=delta.source,
        )

    def _delta(self, tables: Tables) -> ConfigurationDelta | None:
        """Return the delta to the configuration in force; None if the tree itself is carried."""
        proposal, active = self.proposal, tables.configuration
        if proposal.tree is None or not active.tree:
            return None
        if tables.configuration_changes.newest() is None or not self.delta_attempts_left:
            return None
        self.delta_attempts_left -= 1
        delta = ConfigurationDelta.between(
            active.tree, active.source, proposal.tree, proposal.source
        )
        return delta if delta.size_bytes() <= MAX_DELTA_FRACTION * self._proposal_size() else None

    def _proposal_size(self) -> int:
        """Return the size in characters of the tree and its source as JSON."""
        if self._full_size is None:
            self._full_size = len(json.dumps([self.proposal.tree, self.proposal.source]))
        return self._full_size
