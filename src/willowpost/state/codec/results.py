"""The stored forms of results."""

from dataclasses import fields
from typing import Any, Generic, TypeVar

from willowpost.state import results
from willowpost.state.codec.record_codec import JsonObject, RecordCodec, StoredField

T = TypeVar("T")


class _ResultCodec(Generic[T]):
    """A `RecordCodec` whose object also states that the operation was accepted."""

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
        """Return the stored form of a result."""
        return {"ok": True, **self.records.encode(result)}

    def fits(self, names: frozenset[str]) -> bool:
        """Whether a stored result with these names is of this kind."""
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
