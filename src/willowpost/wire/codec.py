"""Converts messages to flatbuffers and back; the schema's names stand here alone."""

from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Any

from willowpost.common.import_guard import hidden_packages
from willowpost.wire import messages
from willowpost.wire.messages import BODIES, NESTED

# Where numpy is installed, flatbuffers would return its number types, and loading it takes 20 MB.
with hidden_packages("numpy"):
    import flatbuffers

    from willowpost.wire import generated

INITIAL_BUFFER_BYTES = 512

# Messages whose table has another name in the schema.
TABLE_NAMES: Mapping[type, str] = {
    messages.CatchupRequest: "Ask",
    messages.CatchupResponse: "Tell",
    messages.ForwardCommand: "Forward",
    messages.SubmitCommand: "Submit",
    messages.CommandAccepted: "Accepted",
    messages.QuorumReadRequest: "ReadAsk",
    messages.QuorumReadResponse: "ReadTell",
    messages.SnapshotChunk: "SnapshotPiece",
    messages.QuotaShareRequest: "QuotaShareAsk",
    messages.QuotaShareResponse: "QuotaShareTell",
    messages.OriginHeartbeat: "Beat",
    messages.AdmissionTokenRequest: "AdmissionTokenAsk",
    messages.AdmissionTokenResponse: "AdmissionTokenTell",
}
# Attributes whose field has another name in the schema: attribute -> field.
FIELD_NAMES: Mapping[type, Mapping[str, str]] = {
    messages.BallotState: {"is_resend": "again"},
    messages.Hello: {
        "is_bootstrapped": "bootstrapped",
        "is_reply": "answer",
        "known_members": "known",
        "bootstrap_promise": "promise",
    },
    messages.CatchupRequest: {"has_no_tables": "blank"},
    messages.CatchupResponse: {"chunk": "piece"},
    messages.CommandAccepted: {"results": "answers"},
    messages.Poll: {"has_no_tables": "blank"},
    messages.StateUpdate: {"age_us": "age", "is_fresh": "fresh", "chunk": "piece"},
    messages.QuotaShareRequest: {"fencing_token": "fence"},
    messages.QuotaShareResponse: {"fencing_token": "fence"},
    messages.OriginHeartbeat: {"warm_up_us": "cold", "heartbeat_number": "number"},
    messages.AdmissionTokenRequest: {"fencing_token": "fence"},
    messages.AdmissionTokenResponse: {"is_granted": "given"},
}


@dataclass(frozen=True, slots=True)
class WireField:
    """How one attribute of a message travels.

    Attributes:
        attribute: its name in the message's class.
        name: its name in the schema.
        default: its value where a frame lacks it; None if the class has no default.
    """

    attribute: str
    name: str
    default: object


def _table_name(kind: type) -> str:
    return TABLE_NAMES.get(kind, kind.__name__)


def _wire_fields(kind: type) -> tuple[WireField, ...]:
    names = FIELD_NAMES.get(kind, {})
    return tuple(
        WireField(
            field.name,
            names.get(field.name, field.name),
            None if field.default is MISSING else field.default,
        )
        for field in fields(kind)
    )


BODY_NUMBERS = {kind: getattr(generated.Body, _table_name(kind)) for kind in BODIES}
WIRE_FIELDS = {kind: _wire_fields(kind) for kind in BODIES + NESTED}
TABLES = {kind: getattr(generated, _table_name(kind) + "T") for kind in BODIES + NESTED}
MESSAGE_TYPES = {table: kind for kind, table in TABLES.items()}


def _pack(value: Any) -> Any:
    """Return the schema's object of a message or of a value in one of its fields."""
    kind = type(value)
    if kind in TABLES:
        return TABLES[kind](
            **{field.name: _pack(getattr(value, field.attribute)) for field in WIRE_FIELDS[kind]}
        )
    return [_pack(item) for item in value] if isinstance(value, tuple) else value


def _unpack(value: Any, default: object = None) -> Any:
    """Return what `_pack` was given; `default` for a missing value."""
    if type(value) in MESSAGE_TYPES:
        kind = MESSAGE_TYPES[type(value)]
        return kind(
            **{
                field.attribute: _unpack(getattr(value, field.name), field.default)
                for field in WIRE_FIELDS[kind]
            }
        )
    if isinstance(value, bytes):
        return value.decode()
    if value is None:
        return default
    if isinstance(value, (str, int, bool)):
        return value
    return tuple(_unpack(item) for item in value)


class Codec:
    """Encodes messages; decode(encode(source, message)) returns (source, message)."""

    def encode(self, source: str, message: object) -> bytes:
        """Return the frame of a message.

        Args:
            source: the address that the sender names as its own.
            message: one of `messages.BODIES`.

        Raises:
            KeyError: the message is of another type.
        """
        envelope = generated.EnvelopeT(  # type: ignore[no-untyped-call]
            source=source, bodyType=BODY_NUMBERS[type(message)], body=_pack(message)
        )
        builder = flatbuffers.Builder(INITIAL_BUFFER_BYTES)
        builder.Finish(envelope.Pack(builder))  # type: ignore[no-untyped-call]
        return bytes(builder.Output())

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """Return (source, message) of a frame.

        Fields that the frame lacks have their defaults. A frame that is none of ours may raise any
        exception.
        """
        envelope = generated.EnvelopeT.InitFromPackedBuf(  # type: ignore[no-untyped-call]
            bytearray(frame)
        )
        return envelope.source.decode(), _unpack(envelope.body)
