"""The settings of one process as plain data, already checked by whoever made them."""

from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.node.graceful_shutdown import ShutdownTimeouts
from willowpost.store.graceful_shutdown import StoreShutdownTimeouts

DEFAULT_MEMORY_BYTES = 512 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings of one process; the names are those of the settings file.

    They are made from checked settings (shell/settings.py) or by another entry point. Times with
    the suffix _ms are in milliseconds.

    Attributes:
        name: of the machine.
        zone: where the machine is.
        address: `IP:port` where the fleet's processes reach this one.
        seeds: addresses of processes to contact first.
        http: `IP:port` for requests over HTTP; None: none.
        health: `IP:port` of a proxy's health page, if apart from its requests.
        metrics: `IP:port` of its metrics page (shell/metrics.py); None: none.
        role: edge, shield or core.
        data: path of a store's data folder.
        voters: how many stores the bootstrap waits for.
        max_voters: to how many voters the core may grow; 0: it does not grow.
        may_bootstrap: False: an empty store only learns.
        bootstrap_from_seeds: whether only a store that is itself a seed may bootstrap.
        regions: zone -> region.
        serve_on_ms: a proxy serves for so long after its last state updates.
        drain_ms: in a graceful shutdown, how long it goes on accepting requests.
        finish_ms: then, how long it may finish requests in flight.
        leave_ms: then, how long it waits to be removed by the log.
        link_mbps: capacity of the machine's link, if known.
        cache_bytes: bound of a proxy's cache.
        extra_part: retries of all proxies together may be this part of the demand,
        extra_slack: plus so many,
        extra_window_ms: in any window of this length.
        pace: timing of a store's replica.
        level: the lowest level to log.
        memory_bytes: what the process may have.
    """

    name: str
    zone: str
    address: str
    seeds: tuple[str, ...]
    http: str | None = None
    health: str | None = None
    metrics: str | None = None
    role: str = "core"
    data: str | None = None
    voters: int = 5
    max_voters: int = 0
    may_bootstrap: bool = True
    bootstrap_from_seeds: bool = False
    regions: dict[str, str] = field(default_factory=dict)
    serve_on_ms: int = 1500
    drain_ms: int = 3000
    finish_ms: int = 30000
    leave_ms: int = 1500
    link_mbps: float | None = None
    cache_bytes: int = 128 * 1024 * 1024
    extra_part: float = 0.2
    extra_slack: float = 60
    extra_window_ms: int = 10_000
    pace: ReplicaTuning = field(default_factory=ReplicaTuning)
    level: str = "INFO"
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    def shutdown_timeouts(self) -> ShutdownTimeouts:
        """Return the time-outs of a graceful shutdown, in µs."""
        return ShutdownTimeouts(
            self.drain_ms * MILLISECOND, self.finish_ms * MILLISECOND, self.leave_ms * MILLISECOND
        )

    def store_shutdown_timeouts(self) -> StoreShutdownTimeouts:
        """Return a store's time-outs, in µs.

        A hand-over may take as long as all stages of a graceful shutdown, a restart as long as the
        last one.
        """
        total_ms = self.drain_ms + self.finish_ms + self.leave_ms
        return StoreShutdownTimeouts(total_ms * MILLISECOND, self.leave_ms * MILLISECOND)
