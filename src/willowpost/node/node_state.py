"""The state that the controllers of a follower of the log share."""

from dataclasses import dataclass, field

from willowpost.common.clock import MILLI
from willowpost.common.rendezvous import weight
from willowpost.state.entries import DaemonDescriptor, DaemonEntry
from willowpost.state.lifecycle import DaemonState
from willowpost.state.snapshot_transfer import SnapshotReceiver, SnapshotSource
from willowpost.state.tables import Tables

# How long an owner may rely on its duty without state updates, and a proxy serves on unless its
# settings say longer.
LEASE = 1_500 * MILLI
# Without a quorum-confirmed update for so long, calls are refused at once. In normal operation the
# age is 150 to 400 ms, and up to 800 ms when the source has just died.
OUT_OF_TOUCH_AFTER = 1_200 * MILLI
# Shorter than LEASE: a daemon that a fault cuts off has heard nothing for so long when its tables
# are as old as LEASE, and serves on without a pause.
QUORUM_HEARD_SPAN = 1_000 * MILLI
TAIL_KEPT = 512
TAIL_BYTES_KEPT = 2 * 1024 * 1024


@dataclass(slots=True)
class NodeState:
    """The shared state of one follower. Times are µs of the own clock.

    Invariants:

    - `tables` never goes back a slot while the process runs.
    - everything accepted before `fresh_as_of` is in `tables`.
    - `tail` holds the decisions tables.slot - len(tail) .. tables.slot - 1, at most TAIL_KEPT of
      them and TAIL_BYTES_KEPT bytes.
    """

    descriptor: DaemonDescriptor
    tables: Tables = field(default_factory=Tables)
    fresh_as_of: int | None = None
    recent_decisions: tuple = ()
    seed_store_addresses: tuple = ()  # stores heard of from seeds, until there are fresh tables
    is_draining: bool = False  # this process is about to end, as planned
    max_stale_serving: int | None = None  # µs; None: the lease
    # when the last word came that shows a quorum of the voters up and within reach
    quorum_contact_at: int | None = None
    incoming_snapshot: SnapshotReceiver = field(default_factory=SnapshotReceiver)
    outgoing_snapshot: SnapshotSource = field(default_factory=SnapshotSource)

    def age(self, now: int) -> int | None:
        """Return the µs since `fresh_as_of`; None before the first fresh state update."""
        return None if self.fresh_as_of is None else now - self.fresh_as_of

    def confirm_as_of(self, moment: int) -> None:
        """Record that everything accepted before `moment` (µs, own clock) is in `tables`."""
        self.fresh_as_of = moment if self.fresh_as_of is None else max(self.fresh_as_of, moment)

    def may_serve(self, now: int) -> bool:
        """Whether requests may be served by the tables held here.

        They may for LEASE after `fresh_as_of`, and up to `serve_on` after it while this daemon is
        out of touch. One that hears of a quorum is in touch, however late: what the log accepted
        since binds it, and it knows that its tables may lack it.

        For duties that the log assigns, see ruling().
        """
        if self.fresh_as_of is None:
            return False
        age = now - self.fresh_as_of
        if age <= LEASE or self.max_stale_serving is None:
            return age <= LEASE
        return age <= self.max_stale_serving and not self.has_quorum_contact(now)

    def has_quorum_contact(self, now: int) -> bool:
        """Whether a quorum of the voters was heard of within QUORUM_HEARD_SPAN."""
        heard_at = self.quorum_contact_at
        return heard_at is not None and now - heard_at <= QUORUM_HEARD_SPAN

    def holds_ownership_lease(self, now: int) -> bool:
        """Whether a duty that the log assigns to this daemon is certainly still its own.

        A successor waits for LEASE, whatever `serve_on` of this daemon is.
        """
        return self.fresh_as_of is not None and now - self.fresh_as_of <= LEASE

    def is_in_touch(self, now: int) -> bool:
        """Whether a quorum confirmed the tables within OUT_OF_TOUCH_AFTER; False at the start."""
        age = self.age(now)
        return age is not None and age <= OUT_OF_TOUCH_AFTER

    def store_addresses(self) -> list[str]:
        """Return the addresses of stores.

        First those of the own machine, then of the own zone, then the other voters, then those that
        only seeds named.
        """
        ordered = sorted(
            self.tables.voters,
            key=lambda voter: (
                voter.name != self.descriptor.name,
                voter.zone != self.descriptor.zone,
                weight(self.descriptor.id, voter.identity),
            ),
        )
        known = [voter.address for voter in ordered]
        return known + [address for address in self.seed_store_addresses if address not in known]

    def live_daemons(self, kind: str) -> dict[str, DaemonEntry]:
        """Return all daemons of a kind that are up, by id."""
        return {
            name: daemon
            for name, daemon in self.tables.daemons.items()
            if daemon.kind == kind and daemon.state is DaemonState.UP
        }
