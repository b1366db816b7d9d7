"""The messages of wire.fbs as immutable values, a module per concern; the logic uses only these.

Times are whole microseconds. A request and its response have the same `nonce`. The names in the
schema differ from the attributes' names here; `wire/codec.py` maps them.
"""

from willowpost.wire.messages.catch_up import (
    CatchupRequest,
    CatchupResponse,
    SnapshotChunk,
    SnapshotRequest,
)
from willowpost.wire.messages.consensus import (
    BallotState,
    Command,
    Decision,
    ForwardCommand,
    Hello,
    Member,
    SyncedIndex,
)
from willowpost.wire.messages.follower import (
    Poll,
    QuorumReadRequest,
    QuorumReadResponse,
    StateUpdate,
)
from willowpost.wire.messages.membership import (
    Ping,
    Pong,
)
from willowpost.wire.messages.origins import (
    OriginHeartbeat,
)
from willowpost.wire.messages.quota import (
    AdmissionTokenRequest,
    AdmissionTokenResponse,
    QuotaShareRequest,
    QuotaShareResponse,
)
from willowpost.wire.messages.submission import (
    CommandAccepted,
    SubmitCommand,
)

# In the order of the schema's union: a message's position is its number on the wire.
BODIES: tuple[type, ...] = (
    BallotState,
    Hello,
    ForwardCommand,
    SyncedIndex,
    CatchupRequest,
    CatchupResponse,
    SubmitCommand,
    CommandAccepted,
    QuorumReadRequest,
    QuorumReadResponse,
    Poll,
    StateUpdate,
    Ping,
    Pong,
    QuotaShareRequest,
    QuotaShareResponse,
    OriginHeartbeat,
    AdmissionTokenRequest,
    AdmissionTokenResponse,
)
# Values that stand in the fields of others.
NESTED: tuple[type, ...] = (Command, Decision, Member, SnapshotRequest, SnapshotChunk)

Message = (
    BallotState
    | Hello
    | ForwardCommand
    | SyncedIndex
    | CatchupRequest
    | CatchupResponse
    | SubmitCommand
    | CommandAccepted
    | QuorumReadRequest
    | QuorumReadResponse
    | Poll
    | StateUpdate
    | Ping
    | Pong
    | QuotaShareRequest
    | QuotaShareResponse
    | OriginHeartbeat
    | AdmissionTokenRequest
    | AdmissionTokenResponse
)

__all__ = [
    "BODIES",
    "NESTED",
    "AdmissionTokenRequest",
    "AdmissionTokenResponse",
    "BallotState",
    "CatchupRequest",
    "CatchupResponse",
    "Command",
    "CommandAccepted",
    "Decision",
    "ForwardCommand",
    "Hello",
    "Member",
    "Message",
    "OriginHeartbeat",
    "Ping",
    "Poll",
    "Pong",
    "QuorumReadRequest",
    "QuorumReadResponse",
    "QuotaShareRequest",
    "QuotaShareResponse",
    "SnapshotChunk",
    "SnapshotRequest",
    "StateUpdate",
    "SubmitCommand",
    "SyncedIndex",
]
