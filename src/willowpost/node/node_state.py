"""The state that the controllers of a follower of the log share."""

from dataclasses import dataclass, field

from willowpost.common.clock import MILLISECOND
from willowpost.common.rendezvous import weight
from willowpost.state.entries import DaemonDescriptor, DaemonEntry
from willowpost.state.lifecycle import DaemonState
from willowpost.state.snapshot_transfer import SnapshotReceiver, SnapshotSource
from willowpost.state.tables import Tables
from willowpost.wire.messages import Decision, Member

# How long the owner of a singleton role may rely on it without state updates, and a proxy serves
# on unless its settings say longer.
LEASE_US = 1_500 * MILLISECOND
# Without a quorum-confirmed update for so long, calls are refused at once. In normal operation the
# age is 150 to 400 ms, and up to 800 ms when the source has just died.
MAX_IN_TOUCH_AGE_US = 1_200 * MILLISECOND
# Silence of so long while this process runs means that it is cut off. Messages that wait in a full
# link's queue come later than the lease ends, and earlier than this.
QUORUM_CONTACT_TIMEOUT_US = 3_000 * MILLISECOND
# A longer pause between two ticks is a standstill of this process, in which it hears nobody.
MAX_TICK_GAP_US = 100 * MILLISECOND
MAX_RECENT_DECISIONS = 512
MAX_RECENT_DECISIONS_BYTES = 2 * 1024 * 1024


@dataclass(slots=True)
class NodeState:
    """The shared state of one follower. Times are µs of the own clock.

    Invariants:

    - `tables` never goes back a slot while the process runs.
    - everything accepted before `fresh_as_of` is in `tables`.
    - `recent_decisions` are those of the slots before `tables.slot`, without a gap, at most
      MAX_RECENT_DECISIONS of them and MAX_RECENT_DECISIONS_BYTES bytes.

    Attributes:
        descriptor: of this daemon.
        tables: the replicated tables as far as they are known here.
        fresh_as_of: see the invariants; None before the first quorum-confirmed update.
        recent_decisions: the last ones applied, for daemons that poll this one.
        seed_store_addresses: stores that seeds named, until the tables are fresh.
        is_draining: whether this process is about to end, as planned.
        max_stale_serving: µs that it serves on with stale tables; None: the lease.
        running_us: for how long this process has run; standstills are left out.
        ticked_at: when the last tick came; None: none came.
        quorum_contact_at: `running_us` when the last message came that shows a quorum of the voters
            up and within reach; None: none came.
        incoming_snapshot: the transfer under way to this daemon.
        outgoing_snapshot: the snapshot that daemons fetch from this one.
    """

    descriptor: DaemonDescriptor
    tables: Tables = field(default_factory=Tables)
    fresh_as_of: int | None = None
    recent_decisions: tuple[Decision, ...] = ()
    seed_store_addresses: tuple[str, ...] = ()
    is_draining: bool = False
    max_stale_serving: int | None = None
    running_us: int = 0
    ticked_at: int | None = None
    quorum_contact_at: int | None = None
    incoming_snapshot: SnapshotReceiver = field(default_factory=SnapshotReceiver)
    outgoing_snapshot: SnapshotSource = field(default_factory=SnapshotSource)

    def tables_age(self, now: int) -> int | None:
        """Return the µs since `fresh_as_of`; None before the first fresh state update."""
        return None if self.fresh_as_of is None else now - self.fresh_as_of

    def confirm_fresh(self, as_of: int) -> None:
        """Record that everything accepted before `as_of` (µs, own clock) is in `tables`."""
        self.fresh_as_of = as_of if self.fresh_as_of is None else max(self.fresh_as_of, as_of)

    def may_serve(self, now: int) -> bool:
        """Whether requests may be served by the tables of this daemon.

        They may for LEASE_US after `fresh_as_of`, and up to `max_stale_serving` after it while no
        quorum is within reach. A daemon that is in contact with a quorum is bound by what the log
        accepted since, however late it learns of it, and knows that its tables may lack it. One
        whose own process or link is slow for a while is in contact.

        For roles that the log assigns, see holds_ownership_lease().
        """
        age = self.tables_age(now)
        if age is None:
            return False
        if age <= LEASE_US or self.max_stale_serving is None:
            return age <= LEASE_US
        return age <= self.max_stale_serving and not self.has_quorum_contact()

    def record_tick(self, now: int) -> None:
        """Count the time since the last tick, but no standstill, as time in which it ran."""
        if self.ticked_at is not None:
            self.running_us += min(now - self.ticked_at, MAX_TICK_GAP_US)
        self.ticked_at = now

    def has_quorum_contact(self) -> bool:
        """Whether a quorum was reached in the last QUORUM_CONTACT_TIMEOUT_US of running."""
        contact_at = self.quorum_contact_at
        return contact_at is not None and self.running_us - contact_at <= QUORUM_CONTACT_TIMEOUT_US

    def holds_ownership_lease(self, now: int) -> bool:
        """Whether a role that the log assigned to this daemon is certainly still its own.

        A successor waits for LEASE_US, whatever `max_stale_serving` of this daemon is.
        """
        age = self.tables_age(now)
        return age is not None and age <= LEASE_US

    def is_in_touch(self, now: int) -> bool:
        """Whether a quorum confirmed the tables within MAX_IN_TOUCH_AGE_US; False at the start."""
        age = self.tables_age(now)
        return age is not None and age <= MAX_IN_TOUCH_AGE_US

    def store_addresses(self) -> list[str]:
        """Return the addresses of stores, the nearest first.

        First those of the own machine, then of the own zone, then the other voters, then those that
        only seeds named.
        """
        voters = [voter.address for voter in sorted(self.tables.voters, key=self._distance)]
        return voters + [address for address in self.seed_store_addresses if address not in voters]

    def _distance(self, voter: Member) -> tuple[bool, bool, bytes]:
        return (
            voter.name != self.descriptor.name,
            voter.zone != self.descriptor.zone,
            weight(self.descriptor.id, voter.identity),
        )

    def live_daemons(self, kind: str) -> dict[str, DaemonEntry]:
        """Return all daemons of a kind that are up, by id."""
        return {
            name: daemon
            for name, daemon in self.tables.daemons.items()
            if daemon.kind == kind and daemon.state is DaemonState.UP
        }
