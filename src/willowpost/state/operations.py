"""The operations that the log applies to the tables, as immutable values.

Their names in stored and transferred JSON stand in `state/codec/` alone.
"""

from dataclasses import dataclass

from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import DaemonDescriptor
from willowpost.wire.messages import Member


@dataclass(frozen=True, slots=True)
class JoinDaemon:
    """A daemon joins the fleet, or joins it again after it was declared lost."""

    daemon: DaemonDescriptor


@dataclass(frozen=True, slots=True)
class RemoveDaemon:
    """A daemon leaves the fleet, if `incarnation` is still its incarnation."""

    daemon_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class DrainDaemon:
    """A daemon begins its graceful shutdown, if `incarnation` is still its incarnation."""

    daemon_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ReportSuspicion:
    """A watcher suspects a daemon, or does so no longer.

    Attributes:
        target: id of the daemon.
        incarnation: of the daemon.
        watcher: id of the daemon that reports.
        is_suspected: whether it suspects the target.
    """

    target: str
    incarnation: int
    watcher: str
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """A learner replaces a voter.

    Attributes:
        replaced: identity of the voter.
        learner: the voter that replaces it.
    """

    replaced: str
    learner: Member


@dataclass(frozen=True, slots=True)
class OfferVoter:
    """A learner offers to become one of two further voters.

    Attributes:
        learner: its identity.
        incarnation: of the learner.
        max_voters: how many voters the core may grow to.
    """

    learner: str
    incarnation: int
    max_voters: int


@dataclass(frozen=True, slots=True)
class OpenEpoch:
    """Has the first slot of `epoch` decided; changes nothing else."""

    epoch: int


@dataclass(frozen=True, slots=True)
class RegisterOrigin:
    """An incarnation of an origin registers.

    Attributes:
        address: IP:port where it serves.
        service: that it serves.
        zone: where it is.
        rate: requests per second that it can take.
        slow_start_rate: requests per second while it warms up.
        token: names the incarnation of its process; None: it has no name.
        slots: how many requests it works on at once; None: not reported.
        heartbeat_number: of the heartbeat that registers it; 0: none.
        is_draining: whether it takes no new requests.
        is_warming_up: whether it reports that it warms up; None: it does not report it.
        known_slot: that its registry knew; rejected if the address changed in it or later. None:
            accepted in any case.
        is_ordered: whether the incarnations at its address are ordered (`AddressBinding.tokens`);
            in the logs of earlier builds each one ended all before it.
    """

    address: str
    service: str
    zone: str
    rate: float
    slow_start_rate: float
    token: str | None = None
    slots: int | None = None
    heartbeat_number: int = 0
    is_draining: bool = False
    is_warming_up: bool | None = None
    known_slot: int | None = None
    is_ordered: bool = False


@dataclass(frozen=True, slots=True)
class ChangeOriginState:
    """Changes the state of an origin.

    Attributes:
        state: an `OriginState` value.
        origin: its name in the tables; None: `token` names it.
        token: names the incarnation of its process.
        heartbeat_number: of the heartbeat that reports it; None: no heartbeat does.
        known_slot: that the registry knew; rejected if the origin began to warm up in it or later.
        registry: id of the proposing registry; rejected if that is not up. None: not checked.
        reports_warm_up: whether the origin's heartbeats will go on saying if it warms up.
        timed_out: for GONE: its heartbeats stopped, and its incarnation may return.
    """

    state: str
    origin: str | None = None
    token: str | None = None
    heartbeat_number: int | None = None
    known_slot: int | None = None
    registry: str | None = None
    reports_warm_up: bool = False
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class EndOrigin:
    """Ends the incarnation of an origin with this token, whether or not it ever registered."""

    token: str


@dataclass(frozen=True, slots=True)
class PurgeCache:
    """Purges cached responses; the attributes are those of `entries.Purge`."""

    kind: str
    host: str = ""
    path: str = ""


@dataclass(frozen=True, slots=True)
class EvacuateZone:
    """Evacuates a zone, or restores it.

    Attributes:
        zone: its name.
        is_evacuated: False restores it.
        scope: an `EvacuationScope` value; None: all, or what was evacuated.
        known_slot: that the registry knew; the order is superseded if the zone changed in it or
            later. None: accepted in any case.
    """

    zone: str
    is_evacuated: bool
    scope: str | None = None
    known_slot: int | None = None


@dataclass(frozen=True, slots=True)
class AcquireOwnership:
    """A daemon becomes the owner of a singleton role.

    Attributes:
        key: of the role.
        owner: id of the daemon.
        fencing_token: of the owner before; rejected if the role has another one by now.
    """

    key: str
    owner: str
    fencing_token: int


Operation = (
    JoinDaemon
    | RemoveDaemon
    | DrainDaemon
    | ReportSuspicion
    | ReplaceVoter
    | OfferVoter
    | OpenEpoch
    | RegisterOrigin
    | ChangeOriginState
    | EndOrigin
    | ConfigurationProposal
    | PurgeCache
    | EvacuateZone
    | AcquireOwnership
)
