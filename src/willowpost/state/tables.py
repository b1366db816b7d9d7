"""The state that results from the decided log; immutable, replaced as a whole."""

import json
from dataclasses import dataclass, field, fields

from willowpost.common.digest import blake2b
from willowpost.common.formats import UnknownFormat
from willowpost.common.uncollected import uncollected
from willowpost.state.configuration_changes import ChangeLog

SNAPSHOT_FORMAT = 1  # of the text; another number is refused
PURGES_KEPT = 4096
ANSWERS_KEPT = 64
FAILURE_VERDICTS_KEPT = 64
ENDED_KEPT = 2048
BOUND_KEPT = 4096


@dataclass(frozen=True, slots=True)
class Tables:
    """The replicated state.

    Invariants:

    - `slot` is the next slot to apply: the tables result from slots 0 to slot - 1 and nothing else.
    - `core` names the voters of slot `slot`, `epoch` counts its changes.
    - `former` holds the voters before the last change and the slot that changed them.
    - `configuration` holds `source`, the operator's own document, if one was given.
    - `changes` holds the last accepted changes of the configuration; the newest made the one in
      force.
    - an address is bound to at most one origin, and so is a token; `bound` keeps the service that
      an address last served.
    - `ended` holds the tokens of the last ended incarnations of origins, oldest first; none of them
      is among `origins`, or will be again.
    - `purges` holds every purge of a slot >= `purge_floor`, oldest first.
    - `seen` holds for each daemon its newest incarnation; a counter <= `floor` has been applied or
      never will be.
    - a daemon not in `seen` runs no command of an incarnation <= `seen_floor`.
    """

    slot: int = 0
    epoch: int = 0
    core: tuple = ()
    former: dict = field(default_factory=dict)
    daemons: dict = field(default_factory=dict)
    suspicions: dict = field(default_factory=dict)
    configuration: dict = field(default_factory=lambda: {"version": 0, "tree": None})
    origins: dict = field(default_factory=dict)
    bound: dict = field(default_factory=dict)
    purges: tuple = ()
    purge_floor: int = 0
    zones: dict = field(default_factory=dict)
    fences: dict = field(default_factory=dict)
    failure_verdicts: tuple = ()
    seen: dict = field(default_factory=dict)
    seen_floor: int = 0
    ended: tuple = ()
    changes: ChangeLog = ChangeLog()

    def incarnation(self, daemon: str) -> tuple[str, int]:
        """Return (daemon, its incarnation).

        Raises:
            KeyError: the daemon is not in the tables.
        """
        return daemon, self.daemons[daemon]["incarnation"]

    def text(self) -> str:
        """Return the snapshot: ASCII JSON; equal tables have equal texts at every daemon."""
        held = {name.name: getattr(self, name.name) for name in fields(self)}
        held |= {"format": SNAPSHOT_FORMAT, "changes": self.changes.as_rows()}
        return json.dumps(held, sort_keys=True, separators=(",", ":"))

    def digest(self) -> str:
        """Return the digest of the text: 16 hexadecimal digits."""
        return blake2b(self.text().encode(), digest_size=8).hexdigest()


def tables_from(text: str) -> Tables:
    """Read the tables from a snapshot's text.

    A text of an earlier build may lack newer fields: they get their defaults.

    Raises:
        UnknownFormat: the text was made by a build that writes another format.
    """
    with uncollected():
        held = json.loads(text)
    found = held.pop("format", None)
    if found != SNAPSHOT_FORMAT:
        raise UnknownFormat("snapshot", found, SNAPSHOT_FORMAT)
    changes = ChangeLog.from_rows(held.pop("changes", []))
    tuples = {
        name: tuple(value) if isinstance(value, list) else value for name, value in held.items()
    }
    return Tables(**tuples, changes=changes)
