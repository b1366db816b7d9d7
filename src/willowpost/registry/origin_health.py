"""Origins' heartbeats: passed on at once, and missing ones noticed by the registry in charge.

All state here is soft: it is rebuilt from the heartbeats that come.
"""

from dataclasses import dataclass

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState
from willowpost.wire.messages import OriginHeartbeat

LOOK_EVERY = 100 * MILLI
ENTER_AFTER = 2_500 * MILLI  # longer than any lease plus the grace of a request under way
DEFAULT_SILENT = 6 * SECOND
ASK_EVERY = 1 * SECOND
# proposed anew as long as it holds: it must not be carried out long after it ceased to hold
PROPOSAL_LIFETIME = 2 * SECOND
PROBES_FAILED = 2
PROBE_EVERY = 1 * SECOND


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat that an origin sent to this very registry.

    Attributes:
        beat: the heartbeat.
        told: whether it says if the origin is cold.
    """

    beat: OriginHeartbeat
    told: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """The outcome of a health check.

    Attributes:
        origin: its name in the tables.
        is_healthy: whether it answered in time, and not with a server error.
    """

    origin: str
    is_healthy: bool


class OriginHealthMonitor:
    """Passes heartbeats on and proposes changes of the origins' states to the log.

    Only the origin's owner among the live registries proposes for it, except that what a heartbeat
    says of being cold is proposed by the registry that received it. A heartbeat with a number not
    above the last one known changes nothing.

    Silence counts from the latest of: the last heartbeat, the first check of the origin here, and
    the last moment at which this registry was out of touch with the core or not among its live
    registries. Until then heartbeats may have gone to others that did not pass them on here.
    """

    def __init__(self, node_state, command_client, probe):
        self.node_state = node_state
        self.command_client = command_client
        # (origin, address, path) -> None; the outcome comes back as a "probed" event
        self.probe = probe
        self.heard: dict[str, int] = {}
        self.seen: dict[str, tuple] = {}  # origin -> (state, since)
        self.failed: dict[str, int] = {}
        self.probed_at: dict[str, int] = {}
        self.asked_at: dict[str, int] = {}
        self.numbers: dict[str, int] = {}
        self.looked_at = 0
        # the last moment (µs) at which beats that others took did not surely come here
        self.unaware_at = 0

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        `OriginHeartbeat` comes from another registry, `HeartbeatReceived` from an origin,
        `HealthCheckFinished` from a health check. On a tick, at most each LOOK_EVERY, the origins
        that this registry owns are checked.
        """
        plan = Plan()
        match event:
            case Received(_, OriginHeartbeat() as beat) if not self._late(beat):
                self._hear(beat, now)
            case HeartbeatReceived(beat) if not self._late(beat):
                self._take(event, now, plan)
            case HealthCheckFinished(origin, sound):
                self.failed[origin] = 0 if sound else self.failed.get(origin, 0) + 1
                if sound:
                    self.heard[origin] = now
            case Tick() if now - self.looked_at >= LOOK_EVERY:
                self.looked_at = now
                self._look(now, plan)
        return plan

    def _late(self, beat):
        return 0 < self.numbers.get(beat.origin, 0) >= beat.number

    def _hear(self, beat, now):
        self.heard[beat.origin] = now
        self.failed.pop(beat.origin, None)
        if beat.number:
            self.numbers[beat.origin] = beat.number

    def _take(self, heard, now, plan):
        beat = heard.beat
        self._hear(beat, now)
        plan.sends += [(address, beat) for address in self._others()]
        origin = self.node_state.tables.origins.get(beat.origin)
        wanted = OriginState.WARMING_UP if beat.cold else OriginState.WARM
        if heard.told and origin is not None and origin.is_in_force and origin.state != wanted:
            self._propose(
                beat.origin, wanted, now, plan, reports_warm_up=True, **self._fences(beat)
            )

    def _others(self):
        """Addresses that need every heartbeat: the other live registries, and the proxies."""
        return [
            daemon.address
            for kind in ("registry", "proxy")
            for name, daemon in self.node_state.live_daemons(kind).items()
            if name != self.node_state.descriptor.id
        ]

    def _fences(self, beat):
        """Return the fields by which the log refuses what an older heartbeat says.

        For a warm origin the slot tells which restoring of its zone this registry knew of.
        """
        number = {"heartbeat_number": beat.number} if beat.number else {}
        return number if beat.cold else {**number, "known_slot": self.node_state.tables.slot}

    def _look(self, now, plan):
        tables = self.node_state.tables
        live = self.node_state.live_daemons("registry")
        self._forget(tables.origins)
        if not self._informed(live, now):
            self.unaware_at = now
        services = tables.configuration.services
        for origin, card in tables.origins.items():
            since = self._state_since(origin, card.state, now)
            if self.unaware_at != now and self._owned(origin, live):
                self._care(origin, card, since, services.get(card.service, {}), now, plan)

    def _forget(self, origins):
        """Drop the state of origins that the tables no longer hold."""
        for kept in (
            self.heard,
            self.seen,
            self.failed,
            self.probed_at,
            self.asked_at,
            self.numbers,
        ):
            for origin in [origin for origin in kept if origin not in origins]:
                del kept[origin]

    def _state_since(self, origin, state, now):
        """Return when the origin was first seen here in its present state (µs)."""
        known, since = self.seen.get(origin, (None, now))
        if known == state:
            return since
        self.seen[origin] = (state, now)
        return now

    def _owned(self, origin, live):
        return Rendezvous().rank(f"origin/{origin}", live)[0] == self.node_state.descriptor.id

    def _informed(self, live, now):
        """Whether the other registries pass heartbeats on to this one, as far as it knows."""
        return self.node_state.is_in_touch(now) and self.node_state.descriptor.id in live

    def _care(self, origin, card, since, service, now, plan):
        silent = int(service.get("silent_seconds", 6.0) * SECOND)
        quiet = now - max(self.heard.setdefault(origin, now), self.unaware_at)
        if quiet > silent // 2 and now - self.probed_at.get(origin, -PROBE_EVERY) >= PROBE_EVERY:
            self.probed_at[origin] = now
            self.probe(origin, card.address, service.get("health_check_path"))
        if quiet > silent or (quiet > silent // 2 and self.failed.get(origin, 0) >= PROBES_FAILED):
            self._turn(
                origin,
                OriginState.GONE,
                now,
                plan,
                timed_out=True,
                registry=self.node_state.descriptor.id,
            )
        elif card.state is OriginState.WAITING and now - since > ENTER_AFTER:
            self._turn(origin, OriginState.WARMING_UP, now, plan)
        elif (
            card.state is OriginState.WARMING_UP
            and not card.reports_warm_up
            and now - since > int(service.get("ramp_seconds", 10.0) * SECOND)
        ):
            self._turn(origin, OriginState.WARM, now, plan, known_slot=self.node_state.tables.slot)

    def _turn(self, origin, state, now, plan, **more):
        if now - self.asked_at.get(origin, -ASK_EVERY) >= ASK_EVERY:
            self.asked_at[origin] = now
            self._propose(origin, state, now, plan, **more)

    def _propose(self, origin, state, now, plan, **more):
        operation = ChangeOriginState(state, origin, **more)
        plan.join(
            self.command_client.step(SubmitOperations(None, (operation,), PROPOSAL_LIFETIME), now)
        )
        plan.log("origins", "proposes a turn", origin=origin, state=state)
