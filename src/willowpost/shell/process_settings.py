"""The settings of one process as plain data, already checked by whoever made them."""

from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.replica_state import ReplicaTuning
from willowpost.node.graceful_shutdown import ShutdownTimeouts
from willowpost.store.graceful_shutdown import StoreShutdownTimeouts


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings of one process.

    They are made from checked settings (shell/settings.py) or by another entry point. Spans with
    the suffix _ms are in milliseconds.
    """

    name: str
    zone: str
    address: str
    seeds: tuple[str, ...]
    http: str | None = None
    # where a proxy tells its health, if apart from its requests
    health: str | None = None
    # where it tells its figures (shell/metrics.py)
    metrics: str | None = None
    role: str = "core"
    data: str | None = None
    voters: int = 5  # bootstrap members of the core
    max_voters: int = 0  # what the core may grow to; 0: it does not grow
    may_bootstrap: bool = True  # False: an empty store only learns
    bootstrap_from_seeds: bool = False  # only a store that is itself a seed founds
    regions: dict[str, str] = field(default_factory=dict)  # zone -> region
    # a proxy serves on this long after its last state updates
    serve_on_ms: int = 1500
    drain_ms: int = 3000  # a leaver goes on serving all
    finish_ms: int = 30000  # then finishes what is under way
    leave_ms: int = 1500  # then waits to be out of the log
    link_mbps: float | None = None  # the machine's link, if that is known
    cache_bytes: int = 128 * 1024 * 1024  # a proxy keeps copies up to this
    # extra tries of all proxies: this part of the demand
    extra_part: float = 0.2
    extra_slack: float = 60  # and these
    extra_window_ms: int = 10_000  # in any such span
    pace: ReplicaTuning = field(default_factory=ReplicaTuning)
    level: str = "INFO"

    def spans(self) -> ShutdownTimeouts:
        """The spans of a planned end, in µs."""
        return ShutdownTimeouts(
            self.drain_ms * MILLISECOND, self.finish_ms * MILLISECOND, self.leave_ms * MILLISECOND
        )

    def store_spans(self) -> StoreShutdownTimeouts:
        """A store's spans, in µs.

        A hand-over may take the whole planned end, a restart only its last part.
        """
        whole = self.drain_ms + self.finish_ms + self.leave_ms
        return StoreShutdownTimeouts(whole * MILLISECOND, self.leave_ms * MILLISECOND)
