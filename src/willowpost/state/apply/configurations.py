"""Applies changes of the configuration: versions only go up, and repeats are recognised."""

from dataclasses import replace

from willowpost.state.configuration_changes import (
    VERSION_MOST,
    AcceptedChange,
    ChangeRefusal,
    ConfigurationProposal,
    content_digest,
)
from willowpost.state.tables import Tables

Outcome = tuple[Tables, dict]


def configuration(tables: Tables, op: dict) -> Outcome:
    """Apply one proposed configuration.

    The version only goes up, and one version names one content. A proposal with a number takes
    effect if its number is above the version in force; one without a number takes the next version.

    Args:
        tables: the tables before the operation.
        op: a proposal as `ConfigurationProposal.as_op` makes it.

    Returns:
        The tables and the answer; a refusal's `why` is a `ChangeRefusal`.
    """
    proposal = ConfigurationProposal.from_op(op)
    if proposal.version is None:
        return _with_the_next_version(tables, proposal)
    return _numbered(tables, proposal, proposal.version)


def _numbered(tables: Tables, proposal: ConfigurationProposal, version: int) -> Outcome:
    """Apply a numbered proposal.

    A number that is not above the version in force is acknowledged and changes nothing. It is
    refused if another content is known to be, or to have been, in force under that number.
    """
    held = tables.configuration["version"]
    if version > held or tables.configuration["tree"] is None:
        return _accepted(tables, proposal, version)
    if content_under(tables, version) not in (None, proposal.content):
        return _refused(tables, ChangeRefusal.OTHER_CONTENT)
    return tables, {"ok": True, "version": held, "changed": False}


def _with_the_next_version(tables: Tables, proposal: ConfigurationProposal) -> Outcome:
    """Apply a proposal without a number.

    A change that was accepted before is acknowledged with the version that it made.
    """
    held = tables.configuration["version"]
    under_key = tables.changes.by_key(proposal.key)
    if under_key is not None:
        if not under_key.is_of(proposal):
            return _refused(tables, ChangeRefusal.KEY_REUSED)
        return _acknowledged_again(tables, under_key)
    if proposal.if_match not in (None, held):
        before = tables.changes.repeated(proposal)
        if before is None:
            return _refused(tables, ChangeRefusal.STALE)
        return _acknowledged_again(tables, before)
    if proposal.if_match is None and proposal.as_of_version not in (None, held):
        return _refused(tables, ChangeRefusal.SUPERSEDED)
    if held >= VERSION_MOST:
        return _refused(tables, ChangeRefusal.NO_VERSION_LEFT)
    return _accepted(tables, proposal, held + 1)


def _accepted(tables: Tables, proposal: ConfigurationProposal, version: int) -> Outcome:
    if proposal.base is not None and not _stands_on(tables, proposal.base):
        return _refused(tables, ChangeRefusal.SUPERSEDED)
    proposal = proposal.whole(tables.configuration)
    if proposal.tree is None or version < tables.configuration["version"]:
        return _refused(tables, ChangeRefusal.NO_CONFIGURATION)
    card = {"version": version, "tree": proposal.tree}
    if proposal.source is not None:
        card["source"] = proposal.source
    change = AcceptedChange(
        version, proposal.if_match, proposal.content, proposal.patch, proposal.key
    )
    after = replace(tables, configuration=card, changes=tables.changes.with_change(change))
    return after, {"ok": True, "version": version, "changed": True}


def _stands_on(tables: Tables, base: str) -> bool:
    """Whether the configuration in force is the one with this digest."""
    newest = tables.changes.newest()
    return newest is not None and newest.content == base


def _acknowledged_again(tables: Tables, change: AcceptedChange) -> Outcome:
    held = tables.configuration["version"]
    return tables, {"ok": True, "version": change.version, "changed": False, "held": held}


def _refused(tables: Tables, refusal: ChangeRefusal) -> Outcome:
    held = tables.configuration["version"]
    return tables, {"ok": False, "why": refusal.value, "version": held, "changed": False}


def content_under(tables: Tables, version: int) -> str | None:
    """Return the digest of the configuration of a version; None if it is not known.

    A configuration that an earlier build accepted is not among the changes; if it is in force, its
    digest is computed.
    """
    change = tables.changes.by_version(version)
    if change is not None:
        return change.content
    held = tables.configuration
    if version != held["version"]:
        return None
    return content_digest(held["tree"], held.get("source"))
