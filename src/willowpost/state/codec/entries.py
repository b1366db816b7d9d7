"""The stored forms of members and of the entries of the tables."""

from willowpost.state.codec.record_codec import JsonObject, RecordCodec, StoredField
from willowpost.state.codec.results import decode_results, encode_results
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
from willowpost.wire.messages import Member

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
    {
        "service": StoredField("service"),
        "slot": StoredField("slot", optional=True),
        "tokens": StoredField("tokens", optional=True, encode=list, decode=tuple),
    },
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
