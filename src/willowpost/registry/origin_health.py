"""Origins' heartbeats: passed on at once, and missing ones noticed by the registry in charge.

All state here is soft: it is rebuilt from the heartbeats that come.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.node.node_state import NodeState
from willowpost.registry.origin_records import HealthSettings, OriginCheck, OriginRecord
from willowpost.state.entries import OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState
from willowpost.wire.messages import OriginHeartbeat

CHECK_INTERVAL_US = 100 * MILLISECOND
# Longer than any lease plus the grace of a request in flight.
ENTER_DELAY_US = 2_500 * MILLISECOND
PROPOSAL_INTERVAL_US = 1 * SECOND
# Proposed anew as long as it holds: it must not be applied long after it ceased to hold.
PROPOSAL_LIFETIME_US = 2 * SECOND
HEALTH_CHECK_INTERVAL_US = 1 * SECOND
FAILED_CHECKS_UNTIL_UNHEALTHY = 2

# (origin, address, path or None) -> None; the outcome comes back as `HealthCheckFinished`.
StartHealthCheck = Callable[[str, str, str | None], None]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat that an origin sent to this very registry.

    Attributes:
        heartbeat: as it is passed on.
        reports_warm_up: whether it states if the origin is warming up.
    """

    heartbeat: OriginHeartbeat
    reports_warm_up: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """The outcome of a health check.

    Attributes:
        origin: its name in the tables.
        is_healthy: whether it answered in time, and not with a server error.
        token: names the incarnation that answered; None: the response does not say.
    """

    origin: str
    is_healthy: bool
    token: str | None = None


class ChangeReason(StrEnum):
    """Why the state of an origin should change, for the log lines."""

    HEARTBEAT = "heartbeat"  # the origin reports it
    TIMED_OUT = "heartbeats missing"
    ADDRESS_FREE = "address free"  # nobody sends requests of its former service any more
    SLOW_START_OVER = "slow start over"


class OriginHealthMonitor:
    """Passes heartbeats on and proposes changes of the origins' states to the log.

    Only the origin's owner among the live registries proposes for it, except that what a heartbeat
    reports of warming up is proposed by the registry that received it. A heartbeat whose number is
    not above the last one known changes nothing.

    A time-out counts from the latest of: the last heartbeat, the first check of the origin here,
    and the last moment at which this registry was out of touch with the core or not among its live
    registries. Until then heartbeats may have gone to others that did not pass them on here.
    """

    def __init__(
        self,
        node_state: NodeState,
        command_client: CommandClient,
        start_health_check: StartHealthCheck,
    ) -> None:
        self.node_state = node_state
        self.command_client = command_client
        self.start_health_check = start_health_check
        self.records: dict[str, OriginRecord] = {}
        self.checked_at = 0
        # The last moment (µs) at which others did not surely pass on their heartbeats.
        self.uninformed_at = 0

    def step(self, event: object, now: int) -> Plan:
        """Handle one event.

        `OriginHeartbeat` comes from another registry, `HeartbeatReceived` from an origin,
        `HealthCheckFinished` from a health check. On a tick, at most each CHECK_INTERVAL_US, the
        origins that this registry owns are checked.
        """
        plan = Plan()
        match event:
            case Received(_, OriginHeartbeat() as heartbeat) if not self._is_stale(heartbeat):
                self._record_heartbeat(heartbeat, now)
            case HeartbeatReceived(heartbeat) as received if not self._is_stale(heartbeat):
                self._accept_heartbeat(received, now, plan)
            case HealthCheckFinished() as finished:
                self._record_health_check(finished, now)
            case Tick() if now - self.checked_at >= CHECK_INTERVAL_US:
                self.checked_at = now
                self._check_origins(now, plan)
        return plan

    def _record(self, origin: str) -> OriginRecord:
        record = self.records.get(origin)
        if record is None:
            record = self.records[origin] = OriginRecord()
        return record

    def _is_stale(self, heartbeat: OriginHeartbeat) -> bool:
        record = self.records.get(heartbeat.origin)
        last_number = 0 if record is None else record.heartbeat_number
        return last_number > 0 and heartbeat.heartbeat_number <= last_number

    def _record_heartbeat(self, heartbeat: OriginHeartbeat, now: int) -> None:
        record = self._record(heartbeat.origin)
        record.last_seen_at = now
        record.failed_health_checks = 0
        if heartbeat.heartbeat_number:
            record.heartbeat_number = heartbeat.heartbeat_number

    def _record_health_check(self, finished: HealthCheckFinished, now: int) -> None:
        record = self._record(finished.origin)
        if finished.is_healthy and self._is_same_incarnation(finished):
            record.last_seen_at = now
            record.failed_health_checks = 0
        else:
            record.failed_health_checks += 1

    def _is_same_incarnation(self, finished: HealthCheckFinished) -> bool:
        """Whether the registered incarnation answered, as far as the response says."""
        origin = self.node_state.tables.origins.get(finished.origin)
        registered = None if origin is None else origin.token
        return None in (registered, finished.token) or registered == finished.token

    def _accept_heartbeat(self, received: HeartbeatReceived, now: int, plan: Plan) -> None:
        """Record and pass on a heartbeat, and propose what it reports of warming up."""
        heartbeat = received.heartbeat
        self._record_heartbeat(heartbeat, now)
        for address in self._heartbeat_receivers():
            plan.send(address, heartbeat)
        origin = self.node_state.tables.origins.get(heartbeat.origin)
        reported = OriginState.WARMING_UP if heartbeat.warm_up_us else OriginState.WARM
        if not received.reports_warm_up or origin is None:
            return
        if origin.is_in_force and origin.state != reported:
            change = self._record(heartbeat.origin).proposal_to(
                origin, self._reported_change(heartbeat, reported)
            )
            self._propose(change, ChangeReason.HEARTBEAT, now, plan)

    def _heartbeat_receivers(self) -> list[str]:
        """Addresses that need every heartbeat: the other live registries, and the proxies."""
        return [
            daemon.address
            for kind in ("registry", "proxy")
            for name, daemon in self.node_state.live_daemons(kind).items()
            if name != self.node_state.descriptor.id
        ]

    def _reported_change(self, heartbeat: OriginHeartbeat, state: OriginState) -> ChangeOriginState:
        """Return the operation for a heartbeat, fenced: the log rejects that of an older one.

        For a warm origin the slot shows which restoring of its zone this registry knew of.
        """
        return ChangeOriginState(
            state,
            heartbeat.origin,
            heartbeat_number=heartbeat.heartbeat_number or None,
            known_slot=None if heartbeat.warm_up_us else self.node_state.tables.slot,
            reports_warm_up=True,
        )

    def _check_origins(self, now: int, plan: Plan) -> None:
        tables = self.node_state.tables
        live = self.node_state.live_daemons("registry")
        self._forget_unregistered(tables.origins)
        if not self._is_informed(live, now):
            self.uninformed_at = now
        services = tables.configuration.services
        for name, origin in tables.origins.items():
            record = self._record(name)
            record.observe_state(origin.state, now)
            if self.uninformed_at != now and self._owns(name, live):
                settings = HealthSettings.of_service(services.get(origin.service, {}))
                self._check_origin(OriginCheck(name, origin, record, settings), now, plan)

    def _forget_unregistered(self, registered: Mapping[str, OriginEntry]) -> None:
        """Drop the records of origins that the tables do not have any more."""
        for name in [name for name in self.records if name not in registered]:
            del self.records[name]

    def _owns(self, origin: str, live_registries: Iterable[str]) -> bool:
        owner = Rendezvous().rank(f"origin/{origin}", live_registries)[0]
        return owner == self.node_state.descriptor.id

    def _is_informed(self, live_registries: Iterable[str], now: int) -> bool:
        """Whether the other registries pass heartbeats on to this one, as far as it knows."""
        is_live = self.node_state.descriptor.id in live_registries
        return self.node_state.is_in_touch(now) and is_live

    def _check_origin(self, check: OriginCheck, now: int, plan: Plan) -> None:
        if self._has_timed_out(check, now):
            registry = self.node_state.descriptor.id
            change = ChangeOriginState(
                OriginState.GONE, check.name, timed_out=True, registry=registry
            )
            self._propose_periodically(check.record, change, ChangeReason.TIMED_OUT, now, plan)
        else:
            self._check_warm_up(check, now, plan)

    def _has_timed_out(self, check: OriginCheck, now: int) -> bool:
        """Whether an origin counts as gone; after half of its time-out its health is checked."""
        record, timeout = check.record, check.settings.heartbeat_timeout_us
        if record.last_seen_at is None:
            record.last_seen_at = now
        elapsed = now - max(record.last_seen_at, self.uninformed_at)
        if elapsed <= timeout // 2:
            return False
        if _is_due(record.health_checked_at, HEALTH_CHECK_INTERVAL_US, now):
            record.health_checked_at = now
            path = check.settings.health_check_path
            self.start_health_check(check.name, check.entry.address, path)
        is_unhealthy = record.failed_health_checks >= FAILED_CHECKS_UNTIL_UNHEALTHY
        return elapsed > timeout or is_unhealthy

    def _check_warm_up(self, check: OriginCheck, now: int, plan: Plan) -> None:
        """Propose the next state of an origin that waits, or that does not report its warm-up."""
        entry, record = check.entry, check.record
        time_in_state = now - record.state_since
        if entry.state is OriginState.WAITING and time_in_state > ENTER_DELAY_US:
            change = ChangeOriginState(OriginState.WARMING_UP, check.name)
            self._propose_periodically(record, change, ChangeReason.ADDRESS_FREE, now, plan)
        elif (
            entry.state is OriginState.WARMING_UP
            and not entry.reports_warm_up
            and time_in_state > check.settings.slow_start_us
        ):
            slot = self.node_state.tables.slot
            change = record.proposal_to(
                entry, ChangeOriginState(OriginState.WARM, check.name, known_slot=slot)
            )
            self._propose_periodically(record, change, ChangeReason.SLOW_START_OVER, now, plan)

    def _propose_periodically(
        self,
        record: OriginRecord,
        change: ChangeOriginState,
        reason: ChangeReason,
        now: int,
        plan: Plan,
    ) -> None:
        """Propose a change that a check found, at most each PROPOSAL_INTERVAL_US."""
        if _is_due(record.proposed_at, PROPOSAL_INTERVAL_US, now):
            record.proposed_at = now
            self._propose(change, reason, now, plan)

    def _propose(
        self, change: ChangeOriginState, reason: ChangeReason, now: int, plan: Plan
    ) -> None:
        submission = SubmitOperations(None, (change,), PROPOSAL_LIFETIME_US)
        plan.join(self.command_client.step(submission, now))
        plan.log(
            "origin_health",
            "origin state change proposed",
            origin=change.origin,
            state=change.state,
            reason=reason.value,
        )


def _is_due(last_at: int | None, interval: int, now: int) -> bool:
    """Whether what was last done at `last_at` (None: never) may be done again; µs."""
    return last_at is None or now - last_at >= interval
