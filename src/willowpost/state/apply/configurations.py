"""Applies changes of the configuration: versions only go up, and repeats are recognised."""

from dataclasses import replace

from willowpost.state.apply.transition import Transition
from willowpost.state.configuration_changes import (
    MAX_VERSION,
    AcceptedChange,
    ConfigurationProposal,
    content_digest,
)
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.results import ConfigurationAccepted, Reason, Rejected
from willowpost.state.tables import Tables


def propose(tables: Tables, proposal: ConfigurationProposal) -> Transition:
    """Apply one proposed configuration.

    The version only goes up, and one version names one content. A proposal with a number takes
    effect if its number is above the version in force; one without a number takes the next version.
    A rejection names the version in force.
    """
    if proposal.version is None:
        return _with_next_version(tables, proposal)
    return _numbered(tables, proposal, proposal.version)


def _numbered(tables: Tables, proposal: ConfigurationProposal, version: int) -> Transition:
    """Apply a numbered proposal.

    A number that is not above the version in force is acknowledged and changes nothing. It is
    rejected if another content is known to be, or to have been, in force under that number.
    """
    in_force = tables.configuration
    if version > in_force.version or in_force.tree is None:
        return _accepted(tables, proposal, version)
    if content_of(tables, version) not in (None, proposal.content):
        return _rejected(tables, Reason.OTHER_CONTENT)
    return Transition(tables, ConfigurationAccepted(in_force.version, is_changed=False))


def _with_next_version(tables: Tables, proposal: ConfigurationProposal) -> Transition:
    """Apply a proposal without a number.

    A change that was accepted before is acknowledged with the version that it made.
    """
    version_in_force = tables.configuration.version
    under_key = tables.configuration_changes.by_key(proposal.key)
    if under_key is not None:
        if not under_key.is_of(proposal):
            return _rejected(tables, Reason.KEY_REUSED)
        return _acknowledged_again(tables, under_key)
    if proposal.if_match not in (None, version_in_force):
        before = tables.configuration_changes.repeated(proposal)
        if before is None:
            return _rejected(tables, Reason.STALE_VERSION)
        return _acknowledged_again(tables, before)
    if is_superseded(tables, proposal):
        return _rejected(tables, Reason.SUPERSEDED)
    if version_in_force >= MAX_VERSION:
        return _rejected(tables, Reason.NO_VERSION_LEFT)
    return _accepted(tables, proposal, version_in_force + 1)


def is_superseded(tables: Tables, proposal: ConfigurationProposal) -> bool:
    """Whether a newer version bars a proposal that requires none, and that is not a repeat."""
    if proposal.version is not None or proposal.if_match is not None:
        return False
    if tables.configuration_changes.by_key(proposal.key) is not None:
        return False
    return proposal.known_version not in (None, tables.configuration.version)


def _accepted(tables: Tables, proposal: ConfigurationProposal, version: int) -> Transition:
    if proposal.base is not None and not _is_in_force(tables, proposal.base):
        return _rejected(tables, Reason.SUPERSEDED)
    proposal = proposal.completed(tables.configuration)
    if proposal.tree is None or version < tables.configuration.version:
        return _rejected(tables, Reason.NO_CONFIGURATION)
    change = AcceptedChange(
        version, proposal.if_match, proposal.content, proposal.patch, proposal.key
    )
    after = replace(
        tables,
        configuration=ActiveConfiguration(version, proposal.tree, proposal.source),
        configuration_changes=tables.configuration_changes.with_change(change),
    )
    return Transition(after, ConfigurationAccepted(version, is_changed=True))


def _is_in_force(tables: Tables, digest: str) -> bool:
    """Whether the configuration in force is the one with this digest."""
    newest = tables.configuration_changes.newest()
    return newest is not None and newest.content == digest


def _acknowledged_again(tables: Tables, change: AcceptedChange) -> Transition:
    return Transition(
        tables,
        ConfigurationAccepted(
            change.version,
            is_changed=False,
            version_in_force=tables.configuration.version,
        ),
    )


def _rejected(tables: Tables, reason: Reason) -> Transition:
    return Transition(tables, Rejected(reason, version=tables.configuration.version))


def content_of(tables: Tables, version: int) -> str | None:
    """Return the digest of the configuration of a version; None if it is not known.

    A configuration that an earlier build accepted is not among the changes; if it is in force, its
    digest is computed.
    """
    change = tables.configuration_changes.by_version(version)
    if change is not None:
        return change.content
    in_force = tables.configuration
    if version != in_force.version or in_force.tree is None:
        return None
    return content_digest(in_force.tree, in_force.source)
