"""The names and forms of operations, results and table entries in JSON.

Old logs, snapshots and disks hold these names, and daemons of other builds read and write them:
**a stored name is never changed**. The logic uses the attributes' names alone.

Each class has a `RecordCodec`: an attribute and its stored name a line. What a text lacks gets the
attribute's default; an attribute that is marked as optional is left out of the text while it has
that default. Equal values give equal objects, so equal tables have equal texts at every daemon.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Any, Generic, TypeVar

from willowpost.common.errors import WillowpostError
from willowpost.state import results
from willowpost.state.configuration_changes import ConfigurationProposal, content_digest
from willowpost.state.entries import (
    ActiveConfiguration,
    AddressBinding,
    CommandHistory,
    DaemonDescriptor,
    DaemonEntry,
    FailureVerdict,
    OriginEntry,
    Ownership,
    PreviousVoters,
    Purge,
    RecordedResults,
    VoterOffer,
    ZoneEvacuation,
)
from willowpost.state.lifecycle import DaemonState, OriginState
from willowpost.state.operations import (
    AcquireOwnership,
    ChangeOriginState,
    DrainDaemon,
    EndOrigin,
    EvacuateZone,
    JoinDaemon,
    OfferVoter,
    OpenEpoch,
    Operation,
    PurgeCache,
    RegisterOrigin,
    RemoveDaemon,
    ReplaceVoter,
    ReportSuspicion,
)
from willowpost.wire.messages import Member

T = TypeVar("T")
JsonObject = dict[str, Any]


class UnknownOperationError(WillowpostError):
    """An operation of a later build, or none at all."""


def _same(value: Any) -> Any:
    return value


@dataclass(frozen=True, slots=True)
class StoredField:
    """How one attribute is stored.

    Attributes:
        name: its name in JSON.
        optional: whether it is left out while it has its default.
        encode: makes the JSON value.
        decode: reads the JSON value.
    """

    name: str
    optional: bool = False
    encode: Callable[[Any], Any] = _same
    decode: Callable[[Any], Any] = _same


class RecordCodec(Generic[T]):
    """Converts values of one class to JSON objects and back.

    Args:
        kind: the class.
        stored: the stored field of each attribute.
    """

    def __init__(self, kind: type[T], stored: Mapping[str, StoredField]):
        self.kind = kind
        defaults = {field.name: field.default for field in fields(kind)}  # type: ignore[arg-type]
        if defaults.keys() != stored.keys():
            raise TypeError(f"{kind.__name__} has other attributes than its codec")
        self.rows = tuple(
            (attribute, field.name, field, defaults[attribute])
            for attribute, field in stored.items()
        )

    def encode(self, value: T) -> JsonObject:
        """Return the JSON object of a value."""
        stored = {}
        for attribute, name, field, default in self.rows:
            found = getattr(value, attribute)
            if field.optional and found == default:
                continue
            stored[name] = field.encode(found)
        return stored

    def decode(self, stored: JsonObject) -> T:
        """Return the value of a JSON object.

        Raises:
            KeyError: an attribute without a default is missing.
            TypeError: it is no object.
            ValueError: an attribute has no such value.
        """
        values = {}
        for attribute, name, field, default in self.rows:
            if name in stored:
                values[attribute] = field.decode(stored[name])
            elif default is MISSING:
                raise KeyError(name)
        return self.kind(**values)


MEMBER = RecordCodec(
    Member,
    {
        "identity": StoredField("identity"),
        "name": StoredField("name"),
        "zone": StoredField("zone"),
        "address": StoredField("address"),
    },
)


def encode_members(members: tuple[Member, ...]) -> list[JsonObject]:
    """Return the JSON array of members."""
    return [MEMBER.encode(member) for member in members]


def decode_members(stored: list[JsonObject]) -> tuple[Member, ...]:
    """Read what `encode_members` returned."""
    return tuple(MEMBER.decode(member) for member in stored)


VOTER_OFFER = RecordCodec(
    VoterOffer, {"slot": StoredField("slot"), "max_voters": StoredField("most")}
)
DESCRIPTOR_FIELDS = {
    "id": StoredField("id"),
    "kind": StoredField("kind"),
    "role": StoredField("role"),
    "name": StoredField("name"),
    "zone": StoredField("zone"),
    "address": StoredField("address"),
    "http": StoredField("http"),
    "incarnation": StoredField("incarnation"),
}
DAEMON_DESCRIPTOR = RecordCodec(DaemonDescriptor, DESCRIPTOR_FIELDS)
DAEMON = RecordCodec(
    DaemonEntry,
    {
        **DESCRIPTOR_FIELDS,
        "state": StoredField("state", decode=DaemonState),
        "since_slot": StoredField("since"),
        "voter_offer": StoredField(
            "voter_offer", optional=True, encode=VOTER_OFFER.encode, decode=VOTER_OFFER.decode
        ),
    },
)
PREVIOUS_VOTERS = RecordCodec(
    PreviousVoters,
    {
        "slot": StoredField("slot"),
        "voters": StoredField("core", encode=encode_members, decode=decode_members),
    },
)
ORIGIN = RecordCodec(
    OriginEntry,
    {
        "service": StoredField("service"),
        "address": StoredField("address"),
        "zone": StoredField("zone"),
        "rate": StoredField("rate"),
        "slow_start_rate": StoredField("cold_rate"),
        "slot": StoredField("slot"),
        "state": StoredField("state", decode=OriginState),
        "token": StoredField("token", optional=True),
        "slots": StoredField("slots", optional=True),
        "heartbeat_number": StoredField("number", optional=True),
        "reports_warm_up": StoredField("told", optional=True),
        "warming_up_since_slot": StoredField("cold_at", optional=True),
    },
)
ADDRESS_BINDING = RecordCodec(
    AddressBinding,
    {"service": StoredField("service"), "slot": StoredField("slot", optional=True)},
)
CONFIGURATION = RecordCodec(
    ActiveConfiguration,
    {
        "version": StoredField("version"),
        "tree": StoredField("tree"),
        "source": StoredField("source", optional=True),
    },
)
PURGE = RecordCodec(
    Purge,
    {
        "slot": StoredField("slot"),
        "host": StoredField("host"),
        "kind": StoredField("kind"),
        "path": StoredField("path"),
    },
)
ZONE_EVACUATION = RecordCodec(
    ZoneEvacuation,
    {
        "is_evacuated": StoredField("empty"),
        "slot": StoredField("slot"),
        "scope": StoredField("what"),
    },
)
OWNERSHIP = RecordCodec(
    Ownership, {"owner": StoredField("owner"), "fencing_token": StoredField("fence")}
)
FAILURE_VERDICT = RecordCodec(
    FailureVerdict,
    {
        "slot": StoredField("slot"),
        "daemon": StoredField("daemon"),
        "name": StoredField("name"),
        "kind": StoredField("kind"),
        "zone": StoredField("zone"),
        "repaired_slot": StoredField("repaired"),
    },
)


# Results ------------------------------------------------------------------------------------------


class _ResultCodec(Generic[T]):
    """A `RecordCodec` whose object also says that the operation was accepted."""

    def __init__(self, kind: type[T], **names: str):
        optional = {field.name for field in fields(kind) if field.default is None}  # type: ignore[arg-type]
        self.records = RecordCodec(
            kind,
            {
                attribute: StoredField(name, optional=attribute in optional)
                for attribute, name in names.items()
            },
        )
        self.required = frozenset({"ok"} | {names[name] for name in names if name not in optional})
        self.known = frozenset({"ok", *names.values()})

    def encode(self, result: T) -> JsonObject:
        return {"ok": True, **self.records.encode(result)}

    def fits(self, names: frozenset[str]) -> bool:
        return self.required <= names <= self.known


ACCEPTED_RESULTS: dict[type, _ResultCodec[Any]] = {
    results.Accepted: _ResultCodec(results.Accepted),
    results.PurgeAccepted: _ResultCodec(results.PurgeAccepted, slot="slot"),
    results.VotersChanged: _ResultCodec(results.VotersChanged, epoch="epoch"),
    results.StateAccepted: _ResultCodec(results.StateAccepted, state="state"),
    results.OriginAccepted: _ResultCodec(results.OriginAccepted, origin="origin", state="state"),
    results.ConfigurationAccepted: _ResultCodec(
        results.ConfigurationAccepted,
        version="version",
        is_changed="changed",
        version_in_force="held",
    ),
    results.OwnershipAcquired: _ResultCodec(results.OwnershipAcquired, fencing_token="fence"),
}
REJECTED_NAMES = (
    frozenset({"ok"}),
    frozenset({"ok", "why"}),
    frozenset({"ok", "why", "version", "changed"}),
)


def encode_result(result: results.Result) -> JsonObject:
    """Return the JSON object of a result."""
    if isinstance(result, results.UnknownResult):
        return result.stored
    if not isinstance(result, results.Rejected):
        return ACCEPTED_RESULTS[type(result)].encode(result)
    reason = {} if result.reason is None else {"why": result.reason}
    version = {} if result.version is None else {"version": result.version, "changed": False}
    return {"ok": False, **reason, **version}


def decode_result(stored: JsonObject) -> results.Result:
    """Read what `encode_result` returned; what no class stands for is kept as it is."""
    names = frozenset(stored)
    if stored.get("ok") is False and names in REJECTED_NAMES:
        return results.Rejected(stored.get("why"), stored.get("version"))
    if stored.get("ok") is True:
        for codec in ACCEPTED_RESULTS.values():
            if codec.fits(names):
                result: results.Result = codec.records.decode(stored)
                return result
    return results.UnknownResult(stored)


def encode_results(recorded: tuple[results.Result, ...]) -> list[JsonObject]:
    """Return the JSON array of a command's results."""
    return [encode_result(result) for result in recorded]


def decode_results(stored: list[JsonObject]) -> tuple[results.Result, ...]:
    """Read what `encode_results` returned."""
    return tuple(decode_result(result) for result in stored)


def encode_command_history(history: CommandHistory) -> JsonObject:
    """Return the JSON object of a daemon's command history."""
    return {
        "incarnation": history.incarnation,
        "floor": history.floor,
        "answers": {
            str(counter): [recorded.slot, encode_results(recorded.results)]
            for counter, recorded in history.results.items()
        },
    }


def decode_command_history(stored: JsonObject) -> CommandHistory:
    """Read what `encode_command_history` returned."""
    return CommandHistory(
        stored["incarnation"],
        stored["floor"],
        {
            int(counter): RecordedResults(slot, decode_results(answers))
            for counter, (slot, answers) in stored["answers"].items()
        },
    )


# Operations ---------------------------------------------------------------------------------------

OPERATIONS: dict[str, RecordCodec[Any]] = {
    "join": RecordCodec(
        JoinDaemon,
        {
            "daemon": StoredField(
                "daemon", encode=DAEMON_DESCRIPTOR.encode, decode=DAEMON_DESCRIPTOR.decode
            )
        },
    ),
    "leave": RecordCodec(
        RemoveDaemon,
        {"daemon_id": StoredField("id"), "incarnation": StoredField("incarnation")},
    ),
    "drain": RecordCodec(
        DrainDaemon,
        {"daemon_id": StoredField("id"), "incarnation": StoredField("incarnation")},
    ),
    "suspicion": RecordCodec(
        ReportSuspicion,
        {
            "target": StoredField("target"),
            "incarnation": StoredField("incarnation"),
            "watcher": StoredField("watcher"),
            "is_suspected": StoredField("suspected"),
        },
    ),
    "replace_voter": RecordCodec(
        ReplaceVoter,
        {
            "replaced": StoredField("old"),
            "learner": StoredField("new", encode=MEMBER.encode, decode=MEMBER.decode),
        },
    ),
    "add_voters": RecordCodec(
        OfferVoter,
        {
            "learner": StoredField("learner"),
            "incarnation": StoredField("incarnation"),
            "max_voters": StoredField("most"),
        },
    ),
    "epoch_opened": RecordCodec(OpenEpoch, {"epoch": StoredField("epoch")}),
    "register": RecordCodec(
        RegisterOrigin,
        {
            "address": StoredField("address"),
            "service": StoredField("service"),
            "zone": StoredField("zone"),
            "rate": StoredField("rate"),
            "slow_start_rate": StoredField("cold_rate"),
            "token": StoredField("token", optional=True),
            "slots": StoredField("slots", optional=True),
            "heartbeat_number": StoredField("number", optional=True),
            "is_draining": StoredField(
                "state",
                optional=True,
                encode=lambda _: OriginState.DRAINING.value,
                decode=lambda state: state == OriginState.DRAINING,
            ),
            "is_warming_up": StoredField("cold", optional=True),
            "known_slot": StoredField("as_of", optional=True),
        },
    ),
    "turn": RecordCodec(
        ChangeOriginState,
        {
            "state": StoredField("state"),
            "origin": StoredField("origin", optional=True),
            "token": StoredField("token", optional=True),
            "heartbeat_number": StoredField("number", optional=True),
            "known_slot": StoredField("as_of", optional=True),
            "registry": StoredField("by", optional=True),
            "reports_warm_up": StoredField("told", optional=True),
            "timed_out": StoredField("silent", optional=True),
        },
    ),
    "end": RecordCodec(EndOrigin, {"token": StoredField("token")}),
    "configuration": RecordCodec(
        ConfigurationProposal,
        {
            "content": StoredField("content", optional=True),
            "tree": StoredField("tree", optional=True),
            "source": StoredField("source", optional=True),
            "version": StoredField("version", optional=True),
            "if_match": StoredField("if_match", optional=True),
            "patch": StoredField("patch", optional=True),
            "key": StoredField("key", optional=True),
            "known_version": StoredField("as_of_version", optional=True),
            "base": StoredField("base", optional=True),
            "tree_delta": StoredField("tree_delta", optional=True),
            "source_delta": StoredField("source_delta", optional=True),
        },
    ),
    "purge": RecordCodec(
        PurgeCache,
        {
            "kind": StoredField("kind"),
            "host": StoredField("host"),
            "path": StoredField("path"),
        },
    ),
    "zone": RecordCodec(
        EvacuateZone,
        {
            "zone": StoredField("zone"),
            "is_evacuated": StoredField("empty"),
            "scope": StoredField("what", optional=True),
            "known_slot": StoredField("as_of", optional=True),
        },
    ),
    "own": RecordCodec(
        AcquireOwnership,
        {
            "key": StoredField("key"),
            "owner": StoredField("owner"),
            "fencing_token": StoredField("fence"),
        },
    ),
}
OPERATION_NAMES: dict[type, str] = {codec.kind: name for name, codec in OPERATIONS.items()}


def encode_operation(operation: Operation) -> JsonObject:
    """Return the JSON object of an operation; `op` names its kind.

    Raises:
        KeyError: it is no operation.
    """
    name = OPERATION_NAMES[type(operation)]
    stored = {"op": name, **OPERATIONS[name].encode(operation)}
    if isinstance(operation, ConfigurationProposal) and operation.tree_delta is not None:
        # a difference says explicitly that it stands in place of a tree and its source
        stored |= {"tree": None, "source": None}
    return stored


def decode_operation(stored: JsonObject) -> Operation:
    """Read what `encode_operation` returned.

    Raises:
        UnknownOperationError: its kind is unknown to this build.
        KeyError, TypeError, ValueError, AttributeError: it is malformed.
    """
    codec = OPERATIONS.get(stored.get("op"))  # type: ignore[arg-type]
    if codec is None:
        raise UnknownOperationError(stored.get("op"))
    operation: Operation = codec.decode(stored)
    if isinstance(operation, ConfigurationProposal):
        return _with_content(operation)
    return operation


def _with_content(proposal: ConfigurationProposal) -> ConfigurationProposal:
    """Earlier builds proposed a tree without its digest."""
    if proposal.content is not None or proposal.tree is None:
        return proposal
    return proposal.with_content(content_digest(proposal.tree, proposal.source))
