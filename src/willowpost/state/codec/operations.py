"""The stored forms of operations, as commands carry them."""

from typing import Any

from willowpost.common.errors import WillowpostError
from willowpost.state.codec.entries import DAEMON_DESCRIPTOR, MEMBER
from willowpost.state.codec.record_codec import JsonObject, RecordCodec, StoredField
from willowpost.state.configuration_changes import ConfigurationProposal, content_digest
from willowpost.state.lifecycle import OriginState
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


class UnknownOperationError(WillowpostError):
    """An operation of a later build, or none at all."""


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
            "is_ordered": StoredField("ordered", optional=True),
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
        # a difference states explicitly that it replaces a tree and its source
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
