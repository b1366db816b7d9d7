"""The names and forms of operations, results and table entries in JSON.

Old logs, snapshots and disks hold these names, and daemons of other builds read and write them:
**a stored name is never changed**. The logic uses the attributes' names alone.
"""

from willowpost.state.codec.entries import (
    ADDRESS_BINDING,
    CONFIGURATION,
    DAEMON,
    FAILURE_VERDICT,
    MEMBER,
    ORIGIN,
    OWNERSHIP,
    PREVIOUS_VOTERS,
    PURGE,
    ZONE_EVACUATION,
    decode_command_history,
    decode_members,
    encode_command_history,
    encode_members,
)
from willowpost.state.codec.operations import (
    OPERATION_NAMES,
    UnknownOperationError,
    decode_operation,
    encode_operation,
)
from willowpost.state.codec.record_codec import JsonObject, RecordCodec, StoredField
from willowpost.state.codec.results import (
    decode_result,
    decode_results,
    encode_result,
    encode_results,
)

__all__ = [
    "ADDRESS_BINDING",
    "CONFIGURATION",
    "DAEMON",
    "FAILURE_VERDICT",
    "MEMBER",
    "OPERATION_NAMES",
    "ORIGIN",
    "OWNERSHIP",
    "PREVIOUS_VOTERS",
    "PURGE",
    "ZONE_EVACUATION",
    "JsonObject",
    "RecordCodec",
    "StoredField",
    "UnknownOperationError",
    "decode_command_history",
    "decode_members",
    "decode_operation",
    "decode_result",
    "decode_results",
    "encode_command_history",
    "encode_members",
    "encode_operation",
    "encode_result",
    "encode_results",
]
