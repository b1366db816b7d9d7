"""What a registry knows of an origin besides the tables, and the settings it is judged by."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self

from willowpost.common.clock import SECOND
from willowpost.state.entries import OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import ChangeOriginState

DEFAULT_HEARTBEAT_TIMEOUT_SECONDS = 6.0
DEFAULT_SLOW_START_SECONDS = 10.0


@dataclass(slots=True)
class OriginRecord:
    """What this registry knows of an origin besides the tables; times are µs of the own clock.

    Attributes:
        last_seen_at: of the last heartbeat or successful health check; None: none came, and the
            origin was not checked yet.
        state: in which the tables were last seen to have it.
        state_since: when they were first seen to have it in that state.
        failed_health_checks: since the last heartbeat or successful check.
        health_checked_at: start of the last health check; None: none was started.
        proposed_at: of the last proposal after a check; None: none was made.
        heartbeat_number: the last one known; 0: none.
        proposal: the last change of its warm-up that was proposed; None: none was.
        proposed_for: the origin in the tables when that was first proposed.
    """

    last_seen_at: int | None = None
    state: OriginState | None = None
    state_since: int = 0
    failed_health_checks: int = 0
    health_checked_at: int | None = None
    proposed_at: int | None = None
    heartbeat_number: int = 0
    proposal: ChangeOriginState | None = None
    proposed_for: OriginEntry | None = None

    def observe_state(self, state: OriginState, now: int) -> None:
        """Record in which state the tables have the origin now."""
        if self.state != state:
            self.state, self.state_since = state, now

    def proposal_to(self, entry: OriginEntry, change: ChangeOriginState) -> ChangeOriginState:
        """Return what to propose: the last proposal again while it says the same.

        An operation that differs only in what fences it is another one to the log, which would be
        given each of them. The older fence is as safe as long as the origin has not changed.

        Args:
            entry: the origin in the tables.
            change: what would be proposed now.
        """
        is_repeat = (
            self.proposal is not None
            and self.proposal.state == change.state
            and self.proposed_for == entry
        )
        if not is_repeat:
            self.proposal, self.proposed_for = change, entry
        return self.proposal or change


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """A service's settings for the health of its origins.

    Attributes:
        heartbeat_timeout_us: without heartbeats for longer, an origin is gone.
        slow_start_us: how long an origin that does not report its warm-up is given.
        health_check_path: None: the default path.
    """

    heartbeat_timeout_us: int
    slow_start_us: int
    health_check_path: str | None

    @classmethod
    def of_service(cls, service: Mapping[str, Any]) -> Self:
        """Read them from a service of the configuration."""
        timeout_seconds = service.get("silent_seconds", DEFAULT_HEARTBEAT_TIMEOUT_SECONDS)
        slow_start_seconds = service.get("ramp_seconds", DEFAULT_SLOW_START_SECONDS)
        return cls(
            heartbeat_timeout_us=int(timeout_seconds * SECOND),
            slow_start_us=int(slow_start_seconds * SECOND),
            health_check_path=service.get("health_check_path"),
        )


@dataclass(frozen=True, slots=True)
class OriginCheck:
    """What a check of an origin goes by.

    Attributes:
        name: of the origin in the tables.
        entry: the origin in the tables.
        record: what this registry knows of it besides.
        settings: of its service.
    """

    name: str
    entry: OriginEntry
    record: OriginRecord
    settings: HealthSettings
