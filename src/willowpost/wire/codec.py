"""Plain messages to flatbuffers and back, by the fields both sides name alike."""

from dataclasses import MISSING, fields

from willowpost.common.lean import unfound
from willowpost.wire.messages import BODIES, NESTED

# where it is installed, the numbers of a message would be its own kind of numbers, and it costs 20
# MB
with unfound("numpy"):
    import flatbuffers

    from willowpost.wire import generated

KINDS = {kind.__name__: kind for kind in BODIES + NESTED}
NUMBERS = {kind: getattr(generated.Body, kind.__name__) for kind in BODIES}
FIELDS = {
    kind: tuple((field.name, field.default) for field in fields(kind)) for kind in BODIES + NESTED
}
TWINS = {kind: getattr(generated, kind.__name__ + "T") for kind in BODIES + NESTED}
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
    """Invariant: decode(encode(source, message)) == (source, message)."""

    def encode(self, source: str, message) -> bytes:
        envelope = generated.EnvelopeT(
            source=source, bodyType=NUMBERS[type(message)], body=_pack(message)
        )
        builder = flatbuffers.Builder(512)
        builder.Finish(envelope.Pack(builder))
        return bytes(builder.Output())

    def decode(self, frame: bytes):
        envelope = generated.EnvelopeT.InitFromPackedBuf(bytearray(frame))
        return envelope.source.decode(), _open(envelope.body)
