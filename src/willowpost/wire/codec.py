"""Converts messages to flatbuffers and back; the schema's names stand here alone."""

from dataclasses import MISSING, fields

from willowpost.common.import_guard import unfound
from willowpost.wire import messages
from willowpost.wire.messages import BODIES, NESTED

# Where numpy is installed, flatbuffers would return its number types, and loading it takes 20 MB.
with unfound("numpy"):
    import flatbuffers

    from willowpost.wire import generated

# Messages whose table has another name in the schema.
TABLE_NAMES = {
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


def _table_name(kind: type) -> str:
    return TABLE_NAMES.get(kind, kind.__name__)


NUMBERS = {kind: getattr(generated.Body, _table_name(kind)) for kind in BODIES}
FIELDS = {
    kind: tuple((field.name, field.default) for field in fields(kind)) for kind in BODIES + NESTED
}
TWINS = {kind: getattr(generated, _table_name(kind) + "T") for kind in BODIES + NESTED}
PLAIN = {twin: kind for kind, twin in TWINS.items()}


def _pack(value):
    if type(value) in TWINS:
        return TWINS[type(value)](
            **{name: _pack(getattr(value, name)) for name, _ in FIELDS[type(value)]}
        )
    return [_pack(item) for item in value] if isinstance(value, tuple) else value


def _open(value, default=None):
    if type(value) in PLAIN:
        kind = PLAIN[type(value)]
        return kind(
            **{
                name: _open(getattr(value, name), None if default is MISSING else default)
                for name, default in FIELDS[kind]
            }
        )
    if isinstance(value, bytes):
        return value.decode()
    if value is None:
        return default
    return (
        tuple(_open(item) for item in value) if not isinstance(value, (str, int, bool)) else value
    )


class Codec:
    """Encodes messages; decode(encode(source, message)) returns (source, message)."""

    def encode(self, source: str, message) -> bytes:
        """Return the frame of a message.

        Args:
            source: the address that the sender names as its own.
            message: one of `messages.BODIES`.

        Raises:
            KeyError: the message is of another type.
        """
        envelope = generated.EnvelopeT(
            source=source, bodyType=NUMBERS[type(message)], body=_pack(message)
        )
        builder = flatbuffers.Builder(512)
        builder.Finish(envelope.Pack(builder))
        return bytes(builder.Output())

    def decode(self, frame: bytes):
        """Return (source, message) of a frame.

        Fields that the frame lacks have their defaults.
        """
        envelope = generated.EnvelopeT.InitFromPackedBuf(bytearray(frame))
        return envelope.source.decode(), _open(envelope.body)
