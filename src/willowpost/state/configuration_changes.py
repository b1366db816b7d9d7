"""Changes of the configuration: as proposed to the log, and as the tables remember them.

The tables remember the last accepted changes, so that a repeated order whose first answer was lost
is recognised and acknowledged again.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from willowpost.common.digest import blake2b
from willowpost.configuration.delta import ConfigurationDelta
from willowpost.state.entries import ActiveConfiguration

MAX_CHANGES = 1024
MAX_VERSION = 2**63 - 1
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ConfigurationProposal:
    """One change as its sender meant it.

    Attributes:
        content: Digest of the tree and its source; None if only `patch` names the change.
        tree: The checked configuration; left out where the log cannot need it.
        source: The document that the operator made the tree from.
        version: The operator's own number; None if the next one is to be taken.
        if_match: The version that must be in force; None if any may be.
        patch: Digest of the JSON Patch that the tree was made with.
        key: Digest of the sender's idempotency key.
        base: Digest of the configuration that `tree_delta` and `source_delta` start from; None if
            the proposal carries its tree and source in full.
        tree_delta: As `delta.tree_delta` makes it; replaces the tree.
        source_delta: As `delta.text_delta` makes it; replaces the source.
        known_version: The version that the proposing registry knew. A change without a number and
            without `if_match` is superseded if another version is in force by then.
    """

    content: str | None = None
    tree: dict[str, Any] | None = None
    source: str | None = None
    version: int | None = None
    if_match: int | None = None
    patch: str | None = None
    key: str | None = None
    known_version: int | None = None
    base: str | None = None
    tree_delta: dict[str, Any] | None = None
    source_delta: list[Any] | None = None

    def with_content(self, digest: str) -> "ConfigurationProposal":
        """Return the proposal with the digest of its tree and source."""
        return replace(self, content=digest)

    def completed(self, in_force: ActiveConfiguration) -> "ConfigurationProposal":
        """Return the proposal with its tree and source, made from the configuration in force.

        Raises:
            KeyError: another configuration is in force.
        """
        if self.tree_delta is None:
            return self
        if in_force.tree is None:
            raise KeyError("no configuration is in force")
        delta = ConfigurationDelta(self.tree_delta, self.source_delta)
        tree, source = delta.apply_to(in_force.tree, in_force.source)
        return replace(self, tree=tree, source=source)


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """What the tables remember of one accepted change.

    Attributes:
        version: The version that it made.
        based_on: The version that its sender required; None if it required none.
        content: Digest of the configuration in force from then on; None if it was not proposed.
        patch: Digest of the patch as it was sent; None if the complete configuration was sent.
        key: Digest of the idempotency key; None if there was none.
    """

    version: int
    based_on: int | None
    content: str | None
    patch: str | None = None
    key: str | None = None

    def is_of(self, proposal: ConfigurationProposal) -> bool:
        """Whether the proposal requests the same as this change did."""
        if self.patch is not None or proposal.patch is not None:
            return self.patch == proposal.patch
        return self.content == proposal.content

    def as_row(self) -> list[Any]:
        """Return the change as the tables' text holds it."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_row(cls, row: list[Any]) -> "AcceptedChange":
        """Read what `as_row` returned."""
        return cls(*row)


@dataclass(frozen=True, slots=True)
class ChangeLog:
    """The last accepted changes, oldest first; at most `MAX_CHANGES`."""

    changes: tuple[AcceptedChange, ...] = ()

    def with_change(self, change: AcceptedChange) -> "ChangeLog":
        """Return the log with one more change at its end."""
        return ChangeLog((*self.changes, change)[-MAX_CHANGES:])

    def by_key(self, key: str | None) -> AcceptedChange | None:
        """Return the change with this digest of an idempotency key; None if there is none."""
        if key is None:
            return None
        return self._newest(lambda change: change.key == key)

    def by_version(self, version: int) -> AcceptedChange | None:
        """Return the change that made this version; None if it is not remembered."""
        return self._newest(lambda change: change.version == version)

    def repeated(self, proposal: ConfigurationProposal) -> AcceptedChange | None:
        """Return the change that requested the same, based on the same version, or None."""
        return self._newest(
            lambda change: change.based_on == proposal.if_match and change.is_of(proposal)
        )

    def newest(self) -> AcceptedChange | None:
        """Return the change that made the version in force, if it is remembered."""
        return self.changes[-1] if self.changes else None

    def _newest(self, fits: Callable[[AcceptedChange], bool]) -> AcceptedChange | None:
        return next((change for change in reversed(self.changes) if fits(change)), None)

    def as_rows(self) -> list[list[Any]]:
        """Return the changes as the tables' text holds them."""
        return [change.as_row() for change in self.changes]

    @classmethod
    def from_rows(cls, rows: list[list[Any]]) -> "ChangeLog":
        """Read what `as_rows` returned."""
        return cls(tuple(AcceptedChange.from_row(row) for row in rows))


def digest_of(value: object) -> str:
    """Return the digest of a JSON value; the order of object keys does not matter."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def content_digest(tree: dict[str, Any], source: str | None) -> str:
    """Return the digest of a checked configuration and the document it was made from."""
    return digest_of([tree, source])
