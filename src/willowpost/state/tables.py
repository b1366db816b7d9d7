"""The state that results from the decided log; immutable, replaced as a whole."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from willowpost.common.digest import blake2b
from willowpost.common.formats import UnknownFormatError
from willowpost.common.gc_pause import paused_gc
from willowpost.common.log_position import LogPosition
from willowpost.state import codec
from willowpost.state.configuration_changes import ChangeLog
from willowpost.state.entries import (
    ActiveConfiguration,
    AddressBinding,
    CommandHistory,
    DaemonEntry,
    FailureVerdict,
    OriginEntry,
    Ownership,
    PreviousVoters,
    Purge,
    ZoneEvacuation,
)
from willowpost.wire.messages import Member

SNAPSHOT_FORMAT = 1  # of the text; another number is refused
FORMAT_NAME = "format"
MAX_PURGES = 4096
MAX_RECORDED_RESULTS = 64  # commands of one daemon
MAX_FAILURE_VERDICTS = 64
MAX_ENDED_TOKENS = 2048
MAX_ADDRESS_BINDINGS = 4096
MAX_TOKENS_OF_ADDRESS = 8


@dataclass(frozen=True, slots=True)
class Tables:
    """The replicated state.

    Invariants:

    - `slot` is the next slot to apply: the tables result from slots 0 to slot - 1 and nothing else.
    - `voters` names the voters of slot `slot`, `epoch` counts its changes.
    - `previous_voters` holds the voters before the last change and the slot that changed them.
    - `suspicions` maps the id of a daemon to the ids of those that suspect it; none are empty.
    - `configuration_changes` holds the last accepted changes of the configuration; the newest made
      the one in force.
    - an address is bound to at most one origin, and so is a token; `address_bindings` keeps the
      service that an address last served, and the last MAX_TOKENS_OF_ADDRESS incarnations there.
    - `ended_tokens` holds the tokens of the last ended incarnations of origins, oldest first; none
      of them is among `origins`, or will be again.
    - `purges` holds every purge of a slot >= `purge_floor`, oldest first.
    - `command_histories` holds for each daemon what its commands led to; a daemon not in it runs no
      command of an incarnation <= `forgotten_incarnation`.
    """

    slot: int = 0
    epoch: int = 0
    voters: tuple[Member, ...] = ()
    previous_voters: PreviousVoters | None = None
    daemons: dict[str, DaemonEntry] = field(default_factory=dict)
    suspicions: dict[str, frozenset[str]] = field(default_factory=dict)
    configuration: ActiveConfiguration = field(default_factory=ActiveConfiguration)
    origins: dict[str, OriginEntry] = field(default_factory=dict)
    address_bindings: dict[str, AddressBinding] = field(default_factory=dict)
    purges: tuple[Purge, ...] = ()
    purge_floor: int = 0
    zone_evacuations: dict[str, ZoneEvacuation] = field(default_factory=dict)
    ownerships: dict[str, Ownership] = field(default_factory=dict)
    failure_verdicts: tuple[FailureVerdict, ...] = ()
    command_histories: dict[str, CommandHistory] = field(default_factory=dict)
    forgotten_incarnation: int = 0
    ended_tokens: tuple[str, ...] = ()
    configuration_changes: ChangeLog = field(default_factory=ChangeLog)

    def incarnation(self, daemon: str) -> tuple[str, int]:
        """Return (daemon, its incarnation).

        Raises:
            KeyError: the daemon is not in the tables.
        """
        return daemon, self.daemons[daemon].incarnation

    def position(self) -> LogPosition:
        """Return the position in the log up to which the tables have been applied."""
        return LogPosition(self.slot, self.configuration.version)

    def voter_identities(self) -> frozenset[str]:
        """Return the identities of the voters."""
        return frozenset(voter.identity for voter in self.voters)

    def previous_voter_identities(self) -> tuple[str, ...]:
        """Return the identities of the voters before the last change; none in the first epoch."""
        return self.previous_voters.identities() if self.previous_voters else ()

    def epoch_first_slot(self) -> int:
        """Return the first slot of the epoch in force; 0 in the epoch of the bootstrap members."""
        return self.previous_voters.slot + 1 if self.previous_voters else 0

    def as_json(self) -> dict[str, Any]:
        """Return the JSON object of the snapshot."""
        stored = {
            table.name: table.encode(getattr(self, attribute))
            for attribute, table in STORED_TABLES.items()
        }
        return {**stored, FORMAT_NAME: SNAPSHOT_FORMAT}

    def text(self) -> str:
        """Return the snapshot: ASCII JSON; equal tables have equal texts at every daemon."""
        return json.dumps(self.as_json(), sort_keys=True, separators=(",", ":"))

    def digest(self) -> str:
        """Return the digest of the text: 16 hexadecimal digits."""
        return blake2b(self.text().encode(), digest_size=8).hexdigest()


def tables_from(text: str) -> Tables:
    """Read the tables from a snapshot's text.

    A text of an earlier build may lack newer tables: they get their defaults.

    Raises:
        UnknownFormatError: the text was made by a build that writes another format.
    """
    with paused_gc():
        stored = json.loads(text)
        found = stored.get(FORMAT_NAME)
        if found != SNAPSHOT_FORMAT:
            raise UnknownFormatError("snapshot", found, SNAPSHOT_FORMAT)
        return Tables(
            **{
                attribute: table.decode(stored[table.name])
                for attribute, table in STORED_TABLES.items()
                if table.name in stored
            }
        )


def _mapping(name: str, records: codec.RecordCodec[Any]) -> codec.StoredField:
    return codec.StoredField(
        name,
        encode=lambda table: {key: records.encode(entry) for key, entry in table.items()},
        decode=lambda stored: {key: records.decode(entry) for key, entry in stored.items()},
    )


def _sequence(name: str, records: codec.RecordCodec[Any]) -> codec.StoredField:
    return codec.StoredField(
        name,
        encode=lambda entries: [records.encode(entry) for entry in entries],
        decode=lambda stored: tuple(records.decode(entry) for entry in stored),
    )


def _encode_previous_voters(previous: PreviousVoters | None) -> dict[str, Any]:
    return codec.PREVIOUS_VOTERS.encode(previous) if previous else {}


def _decode_previous_voters(stored: dict[str, Any]) -> PreviousVoters | None:
    return codec.PREVIOUS_VOTERS.decode(stored) if stored else None


def _encode_suspicions(suspicions: dict[str, frozenset[str]]) -> dict[str, Any]:
    return {target: dict.fromkeys(sorted(names), True) for target, names in suspicions.items()}


def _decode_suspicions(stored: dict[str, Any]) -> dict[str, frozenset[str]]:
    return {target: frozenset(names) for target, names in stored.items()}


def _encode_histories(histories: dict[str, CommandHistory]) -> dict[str, Any]:
    return {name: codec.encode_command_history(history) for name, history in histories.items()}


def _decode_histories(stored: dict[str, Any]) -> dict[str, CommandHistory]:
    return {name: codec.decode_command_history(history) for name, history in stored.items()}


# How each attribute of `Tables` stands in the text.
STORED_TABLES: Mapping[str, codec.StoredField] = {
    "slot": codec.StoredField("slot"),
    "epoch": codec.StoredField("epoch"),
    "voters": _sequence("core", codec.MEMBER),
    "previous_voters": codec.StoredField(
        "former", encode=_encode_previous_voters, decode=_decode_previous_voters
    ),
    "daemons": _mapping("daemons", codec.DAEMON),
    "suspicions": codec.StoredField(
        "suspicions", encode=_encode_suspicions, decode=_decode_suspicions
    ),
    "configuration": codec.StoredField(
        "configuration", encode=codec.CONFIGURATION.encode, decode=codec.CONFIGURATION.decode
    ),
    "origins": _mapping("origins", codec.ORIGIN),
    "address_bindings": _mapping("bound", codec.ADDRESS_BINDING),
    "purges": _sequence("purges", codec.PURGE),
    "purge_floor": codec.StoredField("purge_floor"),
    "zone_evacuations": _mapping("zones", codec.ZONE_EVACUATION),
    "ownerships": _mapping("fences", codec.OWNERSHIP),
    "failure_verdicts": _sequence("failure_verdicts", codec.FAILURE_VERDICT),
    "command_histories": codec.StoredField(
        "seen", encode=_encode_histories, decode=_decode_histories
    ),
    "forgotten_incarnation": codec.StoredField("seen_floor"),
    "ended_tokens": codec.StoredField("ended", encode=list, decode=tuple),
    "configuration_changes": codec.StoredField(
        "changes", encode=ChangeLog.as_rows, decode=ChangeLog.from_rows
    ),
}
